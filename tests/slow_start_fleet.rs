//! Warming endpoints behind fleets of 1 to 300 balancers, in virtual time: what all balancers together send
//! to each endpoint, compared with what the settings allow. The balancers make the real decisions; the
//! endpoints are modelled as cores with a queue.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Mutex};

use common::{READ, ready_update, settings};
use doorproxy::effects::{AttemptOutcome, Effects, EndpointUpdate, FinishedAttempt, IncomingRequest};
use doorproxy::ids::*;
use doorproxy::policy::Balancer;
use doorproxy::rng::Pcg;
use doorproxy::settings::Settings;

const SERVERS: u32 = 10;
const CORES: usize = 4;
const MEAN_WORK: f64 = 0.05;
const TIMEOUT_SECS: f64 = 1.5;

enum Action {
    Start(RequestId, EndpointId),
    SetTimer(Timestamp, TimerId),
}

/// Actions of one balancer that have not been performed.
#[derive(Clone, Default)]
struct PendingActions(Arc<Mutex<Vec<Action>>>);

impl PendingActions {
    fn put(&self, action: Action) {
        self.0.lock().expect("each test uses one thread").push(action);
    }
}

impl Effects for PendingActions {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId) {
        self.put(Action::Start(request, endpoint));
    }
    fn cancel_attempt(&mut self, _: RequestId, _: AttemptNumber) {}
    fn reject(&mut self, _: RequestId, _: Option<Ticks>) {}
    fn fail(&mut self, _: RequestId) {}
    fn set_timer(&mut self, at: Timestamp, timer: TimerId) {
        self.put(Action::SetTimer(at, timer));
    }
    fn close_idle_connections(&mut self, _: EndpointId) {}
    fn probe_load(&mut self, _: EndpointId) {}
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _: &str) {}
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrives,
    TimerFires(usize, TimerId),
    AttemptFinishes {
        balancer: usize,
        request: u32,
        attempt: u16,
        endpoint: u32,
        began: Timestamp,
        is_late: bool,
    },
}

struct Fleet {
    settings: Settings,
    balancers: Vec<(Balancer<PendingActions>, PendingActions)>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    event_count: u64,
    rng: Pcg,
    /// The time at which each core of an endpoint becomes free.
    free_at: BTreeMap<u32, [Timestamp; CORES]>,
    warming_since: BTreeMap<u32, Timestamp>,
    /// The work, the number of attempts and the deadline of each request.
    requests: BTreeMap<u32, (f64, u16, Timestamp)>,
    sent_to_warming: BTreeMap<u32, Vec<(Timestamp, f64)>>,
    attempt_count: usize,
}

impl Fleet {
    /// Creates `balancers` balancers that are each configured with a count of `configured`.
    fn new(balancers: u32, configured: u32) -> Fleet {
        let settings = Settings { balancer_count: configured, ..settings() };
        let updates: Vec<EndpointUpdate> = (1..=SERVERS).map(|id| ready_update(id, 0)).collect();
        let start = |balancer_index: u32| {
            let pending = PendingActions::default();
            let settings = Settings { balancer_index, ..settings.clone() };
            let mut balancer = Balancer::new(u64::from(balancer_index) * 7919 + 1, settings, pending.clone());
            balancer.on_endpoint_snapshot(Timestamp(0), &updates);
            (balancer, pending)
        };
        Fleet {
            balancers: (0..balancers).map(start).collect(),
            settings,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: Pcg::new(41),
            free_at: (1..=SERVERS).map(|id| (id, [Timestamp(0); CORES])).collect(),
            warming_since: BTreeMap::new(),
            requests: BTreeMap::new(),
            sent_to_warming: BTreeMap::new(),
            attempt_count: 0,
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Restarts these endpoints and notifies every balancer immediately.
    fn restart(&mut self, now: Timestamp, ids: std::ops::RangeInclusive<u32>) {
        for id in ids.clone() {
            self.warming_since.insert(id, now);
            self.free_at.insert(id, [now; CORES]);
        }
        let updates: Vec<EndpointUpdate> =
            ids.map(|id| EndpointUpdate { started_at: Some(now), ..ready_update(id, 0) }).collect();
        for number in 0..self.balancers.len() {
            self.balancers[number].0.on_endpoint_updates(now, &updates);
            self.perform_actions(now, number);
        }
    }

    fn capacity_fraction(&self, now: Timestamp, id: u32) -> f64 {
        self.settings.slow_start.capacity_fraction(now, self.warming_since.get(&id).copied())
    }

    fn perform_actions(&mut self, now: Timestamp, balancer: usize) {
        let actions =
            std::mem::take(&mut *self.balancers[balancer].1.0.lock().expect("each test uses one thread"));
        for action in actions {
            match action {
                Action::SetTimer(at, timer) => self.schedule(at.max(now), Event::TimerFires(balancer, timer)),
                Action::Start(request, endpoint) => self.send_attempt(now, balancer, request.0, endpoint.0),
            }
        }
    }

    fn send_attempt(&mut self, now: Timestamp, balancer: usize, request: u32, endpoint: u32) {
        let fraction = self.capacity_fraction(now, endpoint);
        let (work, attempts, deadline) = self.requests.get_mut(&request).expect("a request that has arrived");
        let (work, attempt, deadline) = (*work, *attempts, *deadline);
        self.requests.get_mut(&request).expect("the same request").1 += 1;
        self.attempt_count += 1;
        if fraction < 1.0 {
            self.sent_to_warming.entry(endpoint).or_default().push((now, work));
        }
        let cores = self.free_at.get_mut(&endpoint).expect("an endpoint");
        let core = cores.iter_mut().min().expect("a core");
        *core = (*core).max(now) + Ticks::from_secs_f64(work / fraction);
        let (done, is_late) = (*core, *core > deadline);
        let began = now;
        let ends = Event::AttemptFinishes { balancer, request, attempt, endpoint, began, is_late };
        self.schedule(done.min(deadline), ends);
    }

    fn handle_arrival(&mut self, now: Timestamp, request: u32) {
        // Work is exponentially distributed, up to ten times the mean. Cost estimates are exact.
        let work = (-MEAN_WORK * (1.0 - self.rng.next_f64()).ln()).min(10.0 * MEAN_WORK);
        let balancer =
            ((self.rng.next_f64() * self.balancers.len() as f64) as usize).min(self.balancers.len() - 1);
        self.requests.insert(request, (work, 0, now + Ticks::from_secs_f64(TIMEOUT_SECS)));
        let arrival = IncomingRequest {
            request: RequestId(request),
            key: Some(KeyHash(u64::from(request))),
            tenant: TenantId(0),
            class: ClassId(READ),
            timeout: Ticks::from_secs_f64(TIMEOUT_SECS),
            cost_estimate: Some(work),
        };
        self.balancers[balancer].0.on_request(now, arrival);
        self.perform_actions(now, balancer);
    }

    /// Runs the fleet until the given time, with requests for this fraction of its capacity.
    fn run(&mut self, from: f64, until: f64, load: f64) {
        let requests_per_second = f64::from(SERVERS) * CORES as f64 * load / MEAN_WORK;
        let until = Timestamp::from_secs_f64(until);
        self.schedule(Timestamp::from_secs_f64(from), Event::RequestArrives);
        while let Some(Reverse((now, number, event))) = self.events.pop() {
            if now >= until {
                self.events.push(Reverse((now, number, event)));
                break;
            }
            match event {
                Event::RequestArrives => {
                    let gap = -(1.0 - self.rng.next_f64()).ln() / requests_per_second;
                    self.schedule(now + Ticks::from_secs_f64(gap).max(Ticks(1)), Event::RequestArrives);
                    self.handle_arrival(now, number as u32);
                }
                Event::TimerFires(balancer, timer) => {
                    self.balancers[balancer].0.on_timer(now, timer);
                    self.perform_actions(now, balancer);
                }
                Event::AttemptFinishes { balancer, request, attempt, endpoint, began, is_late } => {
                    let outcome = if is_late { AttemptOutcome::TimedOut } else { AttemptOutcome::Succeeded };
                    let (request, attempt, endpoint) =
                        (RequestId(request), AttemptNumber(attempt), EndpointId(endpoint));
                    let end = FinishedAttempt {
                        request,
                        attempt,
                        endpoint,
                        request_finished: true,
                        outcome,
                        duration: now - began,
                    };
                    self.balancers[balancer].0.on_attempt_finished(now, end);
                    self.perform_actions(now, balancer);
                }
            }
        }
        // The arrival after the end is dropped; the next part of the run schedules its own.
        self.events.retain(|Reverse((.., event))| *event != Event::RequestArrives);
    }

    /// Returns the most work that any warming endpoint got in a window, relative to what is allowed: N requests
    /// of mean work by the settings, and 2 * sqrt(N) + 2 more for random variation.
    fn peak_ratio(&self) -> f64 {
        let warming = &self.settings.slow_start;
        let mut peak_ratio: f64 = 0.0;
        for (id, sent) in &self.sent_to_warming {
            for (place, &(now, _)) in sent.iter().enumerate() {
                let window =
                    sent[..=place].iter().rev().take_while(|(at, _)| now - *at < warming.overload_window);
                let received = window.map(|(_, work)| work).sum::<f64>() / MEAN_WORK;
                let finishable =
                    self.capacity_fraction(now, *id) * CORES as f64 * warming.overload_window.as_secs_f64()
                        / MEAN_WORK;
                let allowed = warming.overload_factor * finishable;
                peak_ratio = peak_ratio.max(received / (allowed + 2.0 * allowed.sqrt() + 2.0));
            }
        }
        peak_ratio
    }
}

/// Guards against balancers that each round up their share and together overload a warming endpoint. Covers a
/// release, a restart of half of the fleet, and both during a burst.
#[test]
fn warming_endpoints_stay_within_limits_for_any_fleet_size() {
    for balancers in [1, 5, 30, 300] {
        for (restarted, load, burst) in [(2, 0.6, 0.6), (5, 0.45, 0.45), (2, 0.6, 0.9), (5, 0.45, 0.7)] {
            let mut fleet = Fleet::new(balancers, balancers);
            fleet.run(0.0, 8.0, load);
            fleet.restart(Timestamp::from_secs_f64(8.0), 1..=restarted);
            fleet.run(8.0, 20.0, burst);
            let (peak_ratio, sent) =
                (fleet.peak_ratio(), fleet.sent_to_warming.values().map(Vec::len).sum::<usize>());
            assert!(
                peak_ratio <= 1.0,
                "{balancers} balancers, {restarted} warming at load {burst}: {peak_ratio:.2}"
            );
            // A warming endpoint that gets nothing would pass the check above, but it has to be used.
            assert!(sent > 50, "{balancers} balancers, {restarted} warming at load {burst}: {sent} in 12 s");
        }
    }
}

/// Shows that the check can fail: 300 balancers that are each configured for three overload warming
/// endpoints.
#[test]
fn undercounted_fleet_exceeds_the_slow_start_limit() {
    let mut fleet = Fleet::new(300, 3);
    fleet.run(0.0, 8.0, 0.6);
    fleet.restart(Timestamp::from_secs_f64(8.0), 1..=2);
    fleet.run(8.0, 20.0, 0.9);
    let peak_ratio = fleet.peak_ratio();
    assert!(peak_ratio > 1.0, "{peak_ratio:.2}");
}
