//! All routing decisions of one balancer.
//!
//! Create a [`Balancer`] from the [`Settings`] and an implementation of [`Effects`], then call the method
//! that belongs to each event, in the order in which the events happen. The balancer acts immediately through
//! its effects. It has no clock: every method receives the current time. The same seed and the same events
//! produce the same actions.
//!
//! Each module holds one group of rules:
//!
//! | module | decides |
//! | --- | --- |
//! | [`admission`] | whether a new request is accepted |
//! | [`routing`] | which pool a request belongs to, by its cost and key |
//! | [`selection`] | which endpoint of a pool receives an attempt |
//! | [`load`] | when an endpoint is asked for its load, and which load is assumed for it |
//! | [`concurrency`] | how many attempts an endpoint receives at a time |
//! | [`slow_start`] | how much work an endpoint receives while it warms up |
//! | [`outliers`] | which endpoints are ejected, and when they are used again |
//! | [`outcomes`] | what a finished attempt shows about its endpoint |
//! | [`retries`] | whether a request is sent again, and its final answer |
//! | [`queue`] | which requests wait, in which order, and for how long |
//! | [`discovery`] | how updates of the endpoint list are applied, and when to ask again after an error |

mod admission;
mod concurrency;
mod discovery;
mod load;
mod outcomes;
mod outliers;
mod queue;
mod retries;
mod routing;
mod selection;
mod slow_start;

use std::collections::BTreeMap;

use crate::effects::{Effects, EndpointUpdate, FinishedAttempt, IncomingRequest, LoadProbeResult};
use crate::endpoint::{EndpointIndex, EndpointTable, RingEntry};
use crate::ids::{AttemptNumber, EndpointId, RequestId, Ticks, TimerId, Timestamp};
use crate::request::Request;
use crate::rng::Pcg;
use crate::route_table::RouteTable;
use crate::settings::Settings;
use crate::statistics::Statistics;

pub use outliers::EjectedEndpoint;
pub use slow_start::SustainedWork;

/// The timer for the next discovery call. A request's timer has the id of the request, which is always
/// smaller.
const WATCH_TIMER: TimerId = TimerId(1 << 32);

const REQUEST_EXISTS: &str = "a request that is waiting or being placed has an entry";

/// Makes the routing decisions of one balancer and holds the state that they depend on.
pub struct Balancer<E> {
    effects: E,
    /// The configuration. The number of balancers can change at run time.
    pub settings: Settings,
    rng: Pcg,
    routes: RouteTable,
    endpoints: EndpointTable,
    /// The listed endpoints of each pool in ring order, rotated to this balancer's own starting point.
    rings: Vec<Vec<RingEntry>>,
    /// Endpoints that are ejected or on probation.
    ejected: Vec<EndpointIndex>,
    requests: BTreeMap<RequestId, Request>,
    /// Waiting requests by descending weight, then by the time of their latency objective.
    queue: Vec<RequestId>,
    attempts_in_flight: u32,
    statistics: Statistics,
    admission: admission::AdmissionState,
    probe_budget: load::ProbeBudget,
    sustained_work: SustainedWork,
    /// When any endpoint last responded.
    last_response_at: Option<Timestamp>,
    /// Discovery calls that have failed since the last update.
    discovery_errors: u32,
}

/// State that the next process of this balancer can start from; see [`crate::snapshot`].
pub struct LearnedState<'a> {
    /// Maps endpoint kinds to pools.
    pub routes: &'a RouteTable,
    /// Samples, cost estimates and past medians.
    pub statistics: &'a mut Statistics,
    /// The work that warm endpoints complete, from which slow start estimates capacity.
    pub sustained_work: &'a mut SustainedWork,
    /// The endpoints, each with the work that was sent to it and that it answered.
    pub endpoints: &'a mut EndpointTable,
}

impl<E: Effects> Balancer<E> {
    /// Creates a balancer that knows no endpoints yet. `seed` initializes its random number generator.
    pub fn new(seed: u64, settings: Settings, mut effects: E) -> Self {
        if settings.discovery_polled {
            effects.watch_endpoints();
        }
        Balancer {
            effects,
            rng: Pcg::new(seed),
            routes: RouteTable::new(&[]),
            endpoints: EndpointTable::default(),
            rings: Vec::new(),
            ejected: Vec::new(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            attempts_in_flight: 0,
            statistics: Statistics::default(),
            admission: admission::AdmissionState::new(&settings),
            probe_budget: load::ProbeBudget::new(&settings),
            sustained_work: SustainedWork::default(),
            last_response_at: None,
            discovery_errors: 0,
            settings,
        }
    }

    /// Handles a complete endpoint list.
    pub fn on_endpoint_snapshot(&mut self, now: Timestamp, updates: &[EndpointUpdate]) {
        self.apply_snapshot(now, updates);
    }

    /// Handles changes of individual endpoints.
    pub fn on_endpoint_updates(&mut self, now: Timestamp, updates: &[EndpointUpdate]) {
        self.apply_updates(now, updates);
    }

    /// Handles a failed discovery call.
    pub fn on_discovery_error(&mut self, now: Timestamp) {
        self.schedule_next_poll(now);
    }

    /// Handles a new request. It gets exactly one final answer unless its client abandons it first.
    pub fn on_request(&mut self, now: Timestamp, incoming: IncomingRequest) {
        self.admit(now, incoming);
    }

    /// Handles the loss of the request's client, or the end of its timeout.
    pub fn on_request_abandoned(&mut self, now: Timestamp, id: RequestId) {
        if self.requests.contains_key(&id) {
            self.remove_request(id);
            self.serve_queue(now);
        }
    }

    /// Ends the request's time now. The final answer waits until its attempts have been cancelled, because
    /// only then is it known whether any of them was sent.
    pub fn expire_now(&mut self, now: Timestamp, id: RequestId) {
        self.expire_request(now, id);
    }

    /// Records that an attempt has started to send a body that can be sent only once.
    pub fn on_stream_started(&mut self, _now: Timestamp, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_streaming = true;
        }
    }

    /// Handles the result of a load probe, or its failure.
    pub fn on_load_probe_finished(&mut self, now: Timestamp, result: LoadProbeResult) {
        self.record_load(now, result);
    }

    /// Handles a timer that was set through the effects.
    pub fn on_timer(&mut self, now: Timestamp, timer: TimerId) {
        if timer == WATCH_TIMER {
            self.effects.watch_endpoints();
        } else {
            self.on_request_timer(now, RequestId(timer.0 as u32));
        }
    }

    /// Handles the end of an attempt, whatever its outcome.
    pub fn on_attempt_finished(&mut self, now: Timestamp, finished: FinishedAttempt) {
        self.record_finished_attempt(now, &finished);
    }

    /// Handles a report by peers that an endpoint is faulty, based on evidence from `since` or later.
    pub fn on_fault_report(&mut self, now: Timestamp, endpoint: EndpointId, since: Timestamp) {
        self.consider_fault_report(now, endpoint, since);
    }

    /// Returns whether an attempt may still send its first byte. Since the decision to start it, its request
    /// may have finished or the deduplication window may have passed.
    pub fn may_begin(&self, now: Timestamp, id: RequestId, attempt: AttemptNumber) -> bool {
        self.may_begin_attempt(now, id, attempt)
    }

    /// Returns the number of requests without a final answer.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of ready endpoints that currently get no ordinary requests.
    pub fn avoided_endpoints(&self, now: Timestamp) -> usize {
        let is_avoided = |endpoint| self.is_avoided(now, endpoint);
        self.endpoints.ready().filter(|(_, endpoint)| is_avoided(endpoint)).count()
    }

    /// Lists the endpoints that are ejected or on probation.
    pub fn ejected_endpoints(&self) -> impl Iterator<Item = EjectedEndpoint> {
        self.list_ejected()
    }

    /// Returns the state that the next process of this balancer can start from.
    pub fn learned_state(&mut self) -> LearnedState<'_> {
        LearnedState {
            routes: &self.routes,
            statistics: &mut self.statistics,
            sustained_work: &mut self.sustained_work,
            endpoints: &mut self.endpoints,
        }
    }

    fn request(&self, id: RequestId) -> &Request {
        self.requests.get(&id).expect(REQUEST_EXISTS)
    }

    fn request_mut(&mut self, id: RequestId) -> &mut Request {
        self.requests.get_mut(&id).expect(REQUEST_EXISTS)
    }

    fn set_request_timer(&mut self, at: Timestamp, id: RequestId) {
        self.effects.set_timer(at, TimerId(u64::from(id.0)));
    }

    /// Returns a random wait between `ratio` and `ratio + spread` times `base`.
    fn with_jitter(&mut self, base: Ticks, ratio: f64, spread: f64) -> Ticks {
        base.mul_f64(ratio + spread * self.rng.next_f64())
    }
}
