//! A test harness for the decisions. Each effect is recorded as one line of a trace.

#![allow(dead_code)]

use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy::effects::{
    AttemptOutcome, Effects, EndpointStatus, EndpointUpdate, FinishedAttempt, IncomingRequest,
    LoadProbeResult,
};
use doorproxy::ids::*;
use doorproxy::policy::Balancer;
use doorproxy::settings::{DedupScope, Idempotency, RequestClass, Settings, SlowStart};

pub const READ: u16 = 0;
pub const TOP_UP: u16 = 1;
pub const ORDER: u16 = 2;

/// The trace, and how many more requests the fleet's limit admits, if there is one.
#[derive(Clone, Default)]
pub struct Trace(Arc<Mutex<String>>, Arc<Mutex<Option<u32>>>);

impl Trace {
    fn text_mut(&self) -> MutexGuard<'_, String> {
        self.0.lock().expect("each test uses one thread")
    }

    pub fn line(&self, text: std::fmt::Arguments) {
        writeln!(self.text_mut(), "{text}").expect("a write to a string cannot fail");
    }

    pub fn text(&self) -> String {
        self.text_mut().clone()
    }
}

impl Effects for Trace {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId) {
        self.line(format_args!("  send request {} to {}", request.0, endpoint.0));
    }
    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNumber) {
        self.line(format_args!("  cancel attempt {} of request {}", attempt.0, request.0));
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Ticks>) {
        let advice = retry_after.map_or("", |_| ", retry after a while");
        self.line(format_args!("  reject request {}{advice}", request.0));
    }
    fn fail(&mut self, request: RequestId) {
        self.line(format_args!("  fail request {}", request.0));
    }
    fn set_timer(&mut self, _at: Timestamp, _timer: TimerId) {}
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.line(format_args!("  close idle connections to {}", endpoint.0));
    }
    fn probe_load(&mut self, endpoint: EndpointId) {
        self.line(format_args!("  probe load of {}", endpoint.0));
    }
    fn watch_endpoints(&mut self) {
        self.line(format_args!("  watch endpoints"));
    }
    fn log(&mut self, line: &str) {
        self.line(format_args!("  log: {line}"));
    }
    fn fleet_limit_wait(&mut self, _now: Timestamp, _tenant: TenantId) -> Option<Ticks> {
        let mut admissions = self.1.lock().expect("each test uses one thread");
        let remaining = admissions.as_mut()?;
        *remaining = match remaining.checked_sub(1) {
            Some(fewer) => fewer,
            None => return Some(Ticks::from_secs_f64(0.5)),
        };
        None
    }
}

/// Settings with three classes, one of each idempotency, with a latency objective of 600 ms each.
pub fn settings() -> Settings {
    let class = |weight, idempotency| RequestClass {
        priority_weight: weight,
        latency_objective: Ticks::from_secs_f64(0.6),
        objective_stretch_factor: 0.0,
        timeout: Ticks::from_secs_f64(2.0),
        late_weight_ratio: 0.0,
        idempotency,
    };
    Settings {
        classes: vec![
            class(1.0, Idempotency::Idempotent),
            class(
                2.0,
                Idempotency::Deduplicated { scope: DedupScope::Zone, window: Ticks::from_secs_f64(1.0) },
            ),
            class(5.0, Idempotency::NonIdempotent),
        ],
        tenant_quotas: Vec::new(),
        balancer_count: 2,
        balancer_index: 0,
        over_quota_factor: 0.1,
        max_attempts: 4,
        hedging_enabled: true,
        cancellation_enabled: true,
        connect_timeout: Ticks::ZERO,
        max_retry_after: Some(Ticks::from_secs_f64(2.0)),
        load_report_field: None,
        connections_free: false,
        probe_cost_ratio: 0.0,
        zone: None,
        discovery_polled: true,
        only_draining_is_binding: false,
        max_poll_interval: Ticks::from_secs_f64(10.0),
        slow_start: SlowStart {
            fleet_ratio: 1.0,
            initial_fraction: 0.2,
            warm_up_time: Ticks::from_secs_f64(20.0),
            overload_factor: 2.5,
            overload_window: Ticks::from_secs_f64(2.0),
        },
    }
}

pub fn ready_update(endpoint: u32, kind: u16) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(endpoint),
        kind: EndpointKindId(kind),
        zone: ZoneId((endpoint % 2) as u16),
        cell: CellId(0),
        weight: 1.0,
        status: EndpointStatus::Ready,
        started_at: None,
    }
}

pub struct Harness {
    pub balancer: Balancer<Trace>,
    trace: Trace,
    pub now: Timestamp,
}

impl Harness {
    pub fn new(settings: Settings, updates: &[EndpointUpdate]) -> Harness {
        let trace = Trace::default();
        let balancer = Balancer::new(7, settings, trace.clone());
        let mut harness = Harness { balancer, trace, now: Timestamp(1_000_000) };
        harness.balancer.on_endpoint_snapshot(harness.now, updates);
        harness
    }

    pub fn note(&mut self, text: &str) -> &mut Self {
        self.trace.line(format_args!("{text}"));
        self
    }

    pub fn set_fleet_limit(&mut self, requests: u32) -> &mut Self {
        *self.trace.1.lock().expect("each test uses one thread") = Some(requests);
        self.note(&format!("the fleet limit admits {requests} more"))
    }

    pub fn after_ms(&mut self, ms: i64) -> &mut Self {
        self.now = self.now + Ticks(ms * 10);
        self
    }

    /// Submits a request of this class with a timeout of 1.5 s and the given number as its key.
    pub fn request(&mut self, request: u32, class: u16, key: u64, cost: f64) -> &mut Self {
        self.arrive(request, class, Some(KeyHash(key)), Some(cost), 1.5)
    }

    pub fn arrive(
        &mut self,
        request: u32,
        class: u16,
        key: Option<KeyHash>,
        cost: Option<f64>,
        timeout_secs: f64,
    ) -> &mut Self {
        self.trace.line(format_args!("request {request} of class {class} arrives"));
        let arrival = IncomingRequest {
            request: RequestId(request),
            key,
            tenant: TenantId(0),
            class: ClassId(class),
            timeout: Ticks::from_secs_f64(timeout_secs),
            cost_estimate: cost,
        };
        self.balancer.on_request(self.now, arrival);
        self
    }

    pub fn finish(
        &mut self,
        request: u32,
        attempt: u16,
        endpoint: u32,
        outcome: AttemptOutcome,
    ) -> &mut Self {
        self.finish_after(request, attempt, endpoint, outcome, 100)
    }

    pub fn finish_after(
        &mut self,
        request: u32,
        attempt: u16,
        endpoint: u32,
        outcome: AttemptOutcome,
        ms: i64,
    ) -> &mut Self {
        self.trace.line(format_args!("attempt {attempt} of request {request} at {endpoint}: {outcome:?}"));
        let finished = FinishedAttempt {
            request: RequestId(request),
            attempt: AttemptNumber(attempt),
            endpoint: EndpointId(endpoint),
            request_finished: outcome == AttemptOutcome::Succeeded,
            outcome,
            duration: Ticks(ms * 10),
        };
        self.balancer.on_attempt_finished(self.now, finished);
        self
    }

    /// Finishes the request's first attempt with an answer after this time, from the endpoint of the last
    /// attempt.
    pub fn answered(&mut self, request: u32, ms: i64) -> &mut Self {
        let endpoint = self.last_endpoint();
        self.after_ms(ms).finish_after(request, 0, endpoint, AttemptOutcome::Succeeded, ms)
    }

    /// Sends requests and answers each after 100 ms, so that the balancer has measurements.
    pub fn warm_up(&mut self, requests: u32) -> &mut Self {
        for request in 0..requests {
            self.arrive(1_000_000 + request, READ, Some(KeyHash(u64::from(request) + 1)), Some(0.1), 1.5);
            self.answered(1_000_000 + request, 100);
        }
        self.trace.text_mut().clear();
        self
    }

    pub fn last_endpoint(&self) -> u32 {
        let trace = self.trace.text_mut();
        let last = trace.lines().rfind(|line| line.starts_with("  send")).expect("an attempt");
        last.rsplit(' ').next().and_then(|id| id.parse().ok()).expect("an attempt that names its endpoint")
    }

    /// Reports the result of a load probe; `None` if the endpoint did not answer the probe in time.
    pub fn report_load(&mut self, endpoint: u32, load: Option<f64>) -> &mut Self {
        self.trace.line(format_args!("{endpoint} reports load {load:?}"));
        self.balancer
            .on_load_probe_finished(self.now, LoadProbeResult { endpoint: EndpointId(endpoint), load });
        self
    }

    pub fn fire_timer(&mut self, request: u32) -> &mut Self {
        self.trace.line(format_args!("the timer of request {request} fires"));
        self.balancer.on_timer(self.now, TimerId(u64::from(request)));
        self
    }

    pub fn trace(&self) -> String {
        self.trace.text()
    }
}
