//! A worker that acts only under a permit, which limits how many of them act in the fleet at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use doorproxy_test_servers::clock::{self, Clock, MS, Micros, SECOND};
use doorproxy_test_servers::events::{Event, EventSink};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::admin_client::admin_request;
use crate::history::HistoryWriter;

/// The pause between two calls for a permit or its extension.
const PERMIT_INTERVAL: Micros = 60 * MS;
/// The time after which a call is given up; a permit granted later would have expired already.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The caller that the worker names. Without a name, one call could not give back what several were granted.
const CALLER: &str = "worker";

/// A permit that a balancer granted.
struct Permit {
    token: u64,
    duration: Micros,
}

/// Takes the permit at its balancer, acts for the granted time, counted from before the call, and gives the
/// permit back at random times.
pub(crate) struct PermitWorker {
    /// The name of the balancer.
    pub node: String,
    /// The address of its admin API.
    pub admin_address: SocketAddr,
    /// The clock of the run.
    pub clock: Clock,
    /// The history in which the worker records that it acts.
    pub history: Arc<HistoryWriter>,
}

impl PermitWorker {
    async fn call(&self, command: &str, body: &str) -> Option<Value> {
        let call = format!("POST /_permits/{command}");
        let request = admin_request(self.admin_address, &call, body);
        let (_, body) = tokio::time::timeout(CALL_TIMEOUT, request).await.ok()?.ok()?;
        serde_json::from_slice(&body).ok()
    }

    async fn take_permit(&self) -> Option<Permit> {
        let response = self.call("take", &format!("task 1 {CALLER}")).await?;
        let seconds = response["for_s"].as_f64()?;
        Some(Permit { token: response["token"].as_u64()?, duration: (seconds * SECOND as f64) as Micros })
    }

    /// Runs until dropped; the seed determines when the worker gives the permit back.
    pub async fn run(self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut acts_until = 0;
        let mut gives_back_at = 0;
        loop {
            clock::sleep(PERMIT_INTERVAL).await;
            let now = self.clock.now();
            if acts_until > now && now >= gives_back_at {
                self.history.record(Event::PermitReleased { node: self.node.clone() });
                acts_until = 0;
                let _ = self.call("back", &format!("task 0 {CALLER}")).await;
                clock::sleep(rng.random_range(0..SECOND / 2)).await;
                continue;
            }
            let called_at = self.clock.now();
            let Some(permit) = self.take_permit().await else { continue };
            let until = called_at + permit.duration;
            let now = self.clock.now();
            if until > now {
                if acts_until <= now {
                    gives_back_at = now + rng.random_range(SECOND / 4..2 * SECOND);
                }
                acts_until = until;
                self.history.record(Event::PermitHeld {
                    node: self.node.clone(),
                    token: permit.token,
                    until,
                });
            }
        }
    }
}
