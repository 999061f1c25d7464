//! A worker of which only so many may act in the fleet at a time.

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

/// How often a worker asks for a permit, or for more time.
const PERMIT_INTERVAL: Micros = 60 * MS;
/// A later answer is of no use: its time is over.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A permit as a balancer grants it.
struct Permit {
    token: u64,
    duration: Micros,
}

/// Takes the permit at its balancer, acts for as long as that grants, counted from before it asked, and gives it back now
/// and then.
pub(crate) struct PermitWorker {
    /// Name of the balancer.
    pub node: String,
    /// Its admin API.
    pub admin_address: SocketAddr,
    /// The clock of the run.
    pub clock: Clock,
    /// Where it records that it acts.
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
        let answer = self.call("take", "task 1").await?;
        let seconds = answer["for_s"].as_f64()?;
        Some(Permit { token: answer["token"].as_u64()?, duration: (seconds * SECOND as f64) as Micros })
    }

    /// Works until dropped; the seed decides when it gives the permit back.
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
                let _ = self.call("back", "task").await;
                clock::sleep(rng.random_range(0..SECOND / 2)).await;
                continue;
            }
            let asked_at = self.clock.now();
            let Some(permit) = self.take_permit().await else { continue };
            let until = asked_at + permit.duration;
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
