//! Calls to a balancer's admin API.

use std::sync::Arc;
use std::time::Duration;

use doorproxy_balancer::runtime::Runtime;

use super::Cluster;
use super::config::admin_address;
use crate::context::ClusterContext;
use crate::http::MessageReader;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A call that sets or clears a manual ejection at a balancer.
pub(super) struct EjectionCall {
    /// The index of the balancer.
    pub balancer: usize,
    /// The name of the endpoint.
    pub server: String,
    /// True to eject the endpoint, false to clear its ejection.
    pub is_ejected: bool,
}

impl EjectionCall {
    fn command(&self) -> &'static str {
        if self.is_ejected { "detach" } else { "attach" }
    }

    /// Sends the call and returns the status of the response, or 0 without one.
    async fn send(&self, context: &ClusterContext) -> u16 {
        let address = admin_address(&context.state().balancers[self.balancer]);
        let EjectionCall { server, .. } = self;
        let command = self.command();
        let request = format!(
            "POST /_upstreams/{command} HTTP/1.1\r\nHost: o\r\nContent-Length: {}\r\n\r\n{server}",
            server.len()
        );
        let exchange = async {
            let stream = context.harness_runtime.dial(address).await?;
            stream.write(request.as_bytes()).await?;
            MessageReader::default().next_message(&stream).await
        };
        let result = context.harness_runtime.timeout(CALL_TIMEOUT, exchange).await;
        result.and_then(Result::ok).flatten().map_or(0, |response| response.status())
    }
}

impl Cluster {
    /// Ejects an endpoint manually at a balancer, or clears the ejection. The change is recorded once the
    /// balancer has confirmed it.
    pub(super) fn request_manual_ejection(self: &Arc<Cluster>, call: EjectionCall) {
        let context = self.context.clone();
        let process = context.harness_runtime.process;
        self.context.simulation.spawn(process, async move {
            let status = call.send(&context).await;
            let mut records = context.records.lock();
            records.outcomes.increment(&format!("manual ejection, {}: {status}", call.command()));
            if status == 200 {
                let now = context.simulation.now();
                records.record_manual_ejection(now, call.balancer, &call.server, call.is_ejected);
            }
        });
    }
}
