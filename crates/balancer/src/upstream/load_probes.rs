//! Makes the load probes that the dispatcher asks for, independently of the requests.

use std::sync::Arc;

use doorproxy::dispatcher::Dispatcher;
use doorproxy::effects::LoadProbeResult;
use doorproxy::ids::EndpointId;
use serde_json::Value;

use crate::runtime::Runtime;
use crate::upstream::UpstreamClient;

/// Path of the load report on an endpoint.
pub const LOAD_REPORT_PATH: &str = "/-/load";
/// Name of the load field in a report that is a JSON object.
const LOAD_FIELD: &str = "active";

/// Makes load probes; never completes. If the settings do not use load reports, the dispatcher asks for none.
pub async fn run<R: Runtime>(
    runtime: R,
    dispatcher: Dispatcher,
    upstream_client: Arc<UpstreamClient<R>>,
    field: Option<usize>,
) {
    loop {
        for endpoint in dispatcher.load_probes_wanted().await {
            let task = probe(runtime.clone(), dispatcher.clone(), upstream_client.clone(), endpoint, field);
            runtime.spawn(task);
        }
    }
}

/// Fetches one load report and reports the load to the dispatcher.
async fn probe<R: Runtime>(
    runtime: R,
    dispatcher: Dispatcher,
    upstream_client: Arc<UpstreamClient<R>>,
    endpoint: EndpointId,
    field: Option<usize>,
) {
    let report = upstream_client.fetch_load_report(endpoint).await;
    let load = report.and_then(|report| parse_load(&report, field?));
    dispatcher.report_load_probe(runtime.now(), LoadProbeResult { endpoint, load });
}

/// Parses the load from a report: the value at `index` of an array, or the field `active` of an object.
/// Returns `None` if the report is malformed or the load is negative.
pub fn parse_load(report: &[u8], index: usize) -> Option<f64> {
    let load = match serde_json::from_slice(report).ok()? {
        Value::Array(values) => values.get(index)?.as_f64()?,
        Value::Object(values) => values.get(LOAD_FIELD)?.as_f64()?,
        _ => return None,
    };
    (load.is_finite() && load >= 0.0).then_some(load)
}
