//! Adds up the waits of discovery that can lie between a change and its notification.

mod common;

use common::settings;
use doorproxy::ids::Ticks;
use doorproxy::settings::{DiscoveryTiming, Settings};

/// The configured longest interval between discovery calls in seconds, from very frequent to very rare.
const MAX_POLL_INTERVALS: [f64; 5] = [0.5, 2.0, 10.0, 40.0, 600.0];

fn timing(interval_secs: f64, balancer_index: u32) -> DiscoveryTiming {
    Settings { max_poll_interval: Ticks::from_secs_f64(interval_secs), balancer_index, ..settings() }
        .discovery_timing(7)
}

/// Guards against a change that becomes binding before the balancer is notified. Discovery has the change all
/// the while. First a silent watch or a hanging call for the snapshot times out, then the backoff passes, and
/// then the call that returns the change takes as long as any answered call. If a call is refused in between,
/// which costs another backoff, 0.8 s are still left for the answer.
#[test]
fn balancer_is_notified_in_time_whichever_call_fails() {
    for interval_secs in MAX_POLL_INTERVALS {
        for balancer_index in 0..300 {
            let waits = timing(interval_secs, balancer_index);
            for timeout in [waits.watch_timeout(), DiscoveryTiming::SNAPSHOT_TIMEOUT] {
                assert!(
                    timeout + DiscoveryTiming::MAX_BACKOFF + DiscoveryTiming::SERVICE_TIMEOUT
                        <= DiscoveryTiming::NOTIFIED_WITHIN,
                    "{waits:?}"
                );
                let refused = timeout + DiscoveryTiming::MAX_BACKOFF + DiscoveryTiming::MAX_BACKOFF;
                assert!(refused + Ticks::from_secs_f64(0.8) <= DiscoveryTiming::NOTIFIED_WITHIN, "{waits:?}");
            }
        }
    }
}

/// Guards against all watches of a fleet breaking at once and being repeated at the same moment. Discovery
/// handles calls one after the other and rejects those that would wait too long.
#[test]
fn watch_timeouts_differ_between_balancers_and_allow_delays() {
    for seeds in [|_| 7, |balancer_index: u32| u64::from(balancer_index) * 1009] {
        let timing_of = |balancer_index| {
            Settings { balancer_index, ..settings() }.discovery_timing(seeds(balancer_index))
        };
        let mut all: Vec<Ticks> =
            (0..300).map(|balancer_index| timing_of(balancer_index).watch_grace).collect();
        all.sort();
        let span = all.windows(90).map(|group| Ticks(group[89].0 - group[0].0)).min().expect("300 balancers");
        assert!(span > Ticks::from_secs_f64(0.1), "90 of 300 time out within {span:?}");
        assert!(all[0] >= Ticks::from_secs_f64(0.4), "{:?}", all[0]);
    }
}
