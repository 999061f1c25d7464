//! Makes routing decisions available to asynchronous network code.
//!
//! A protocol server passes each request to [`Dispatcher::submit`], awaits [`Dispatcher::next_step`] until it
//! returns a final answer, and reports the end of each attempt to [`Dispatcher::report_attempt`]. One task
//! calls [`Dispatcher::tick`] with the current time and with discovery events. This interface is the same for
//! every protocol. The dispatcher itself makes no decisions and does no I/O.

mod mailbox;

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use crate::effects::{
    AttemptOutcome, Effects, EndpointUpdate, FinishedAttempt, IncomingRequest, LoadProbeResult,
};
use crate::ids::{
    AttemptNumber, ClassId, EndpointId, KeyHash, RequestId, TenantId, Ticks, TimerId, Timestamp,
};
use crate::policy::Balancer;
use crate::settings::Settings;
use crate::snapshot;

use mailbox::Mailbox;

pub use crate::policy::EjectedEndpoint;

/// The properties of a request on which decisions depend.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// The request class.
    pub class: ClassId,
    /// The tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// The hash of the request's key. Requests with the same key go to the same endpoints where possible.
    pub key: Option<KeyHash>,
    /// The expected work in seconds of a standard core.
    pub cost_estimate: Option<f64>,
    /// The time that the client waits, counted from submission.
    pub timeout: Ticks,
}

/// The next step for a request.
#[derive(Debug)]
pub enum NextStep {
    /// Send an attempt. Further steps follow.
    Attempt(Attempt),
    /// Reject the request as its final answer. The client may send it again, preferably after this time.
    Reject {
        /// `None` if the client gets no such advice.
        retry_after: Option<Ticks>,
    },
    /// Fail the request as its final answer. It is unknown whether the request ran.
    Fail,
}

impl NextStep {
    fn is_final(&self) -> bool {
        !matches!(self, NextStep::Attempt(_))
    }
}

/// An attempt to send. [`Dispatcher::report_attempt`] consumes it, so that it is reported only once.
#[derive(Debug)]
pub struct Attempt {
    /// The endpoint that it goes to.
    pub endpoint: EndpointId,
    request: RequestId,
    number: AttemptNumber,
    decided_at: Timestamp,
}

/// An event from discovery.
pub enum DiscoveryEvent<'a> {
    /// No event; only time has passed.
    None,
    /// The complete endpoint list.
    Snapshot(&'a [EndpointUpdate]),
    /// Endpoints that have changed.
    Updates(&'a [EndpointUpdate]),
    /// A discovery call that failed.
    Error,
}

/// Determines a balancer's share of the limits for all balancers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    /// The number of balancers that share the limits.
    pub balancer_count: u32,
    /// The fraction of a warming endpoint's spare work that these balancers may use, in 0..=1.
    pub slow_start_ratio: f64,
}

/// A [`FleetShare`] that is valid for a limited time, with a fallback for the time after. It expires without
/// further action, even in a process that was paused in the meantime.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeasedFleetShare {
    /// The share until the lease ends.
    pub current: FleetShare,
    /// The end of the current share.
    pub until: Timestamp,
    /// The share from then on.
    pub fallback: FleetShare,
}

impl LeasedFleetShare {
    fn at(&self, now: Timestamp) -> FleetShare {
        if now < self.until { self.current } else { self.fallback }
    }
}

/// Effects that do not belong to a single request.
pub trait BackgroundEffects: Send {
    /// See [`Effects::close_idle_connections`].
    fn close_idle_connections(&mut self, endpoint: EndpointId);

    /// See [`Effects::log`].
    fn log(&mut self, line: &str);
}

/// Limits of the whole fleet. They are checked during a decision, so implementations must not block.
pub trait FleetLimits: Send + Sync {
    /// See [`Effects::fleet_limit_wait`].
    fn wait_time(&self, now: Timestamp, tenant: TenantId) -> Option<Ticks>;
}

/// The state held for requests that are not finished. Once there are no more requests, all counts fall to
/// zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingCounts {
    /// Requests whose final answer has not been fetched.
    pub requests: usize,
    /// Attempts that can still be cancelled.
    pub attempts: usize,
    /// Timers that have not fired.
    pub timers: usize,
    /// Requests without a final answer in the balancer's state.
    pub unanswered: usize,
}

/// What the endpoints' answers to this balancer have shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// The number of ready endpoints.
    pub ready_endpoints: usize,
    /// The number of ready endpoints that have answered recently.
    pub answered_endpoints: usize,
    /// The number of answers measured since the start.
    pub answer_count: usize,
}

type SharedLimits = Arc<OnceLock<Arc<dyn FleetLimits>>>;

/// A handle to the decisions of one balancer. Clones share the same state.
#[derive(Clone)]
pub struct Dispatcher {
    balancer: Arc<Mutex<Balancer<MailboxEffects>>>,
    mailbox: Arc<Mutex<Mailbox>>,
    limits: SharedLimits,
}

/// # Panics
/// If another thread panicked while it held the lock, because the state may then be inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panicked while holding the lock")
}

impl Dispatcher {
    /// Creates a dispatcher that knows no endpoints yet. `seed` initializes its random number generator.
    pub fn new(
        now: Timestamp,
        seed: u64,
        settings: Settings,
        background: Box<dyn BackgroundEffects>,
    ) -> Dispatcher {
        let mut mailbox = Mailbox::new(now);
        // The simulator may send endpoint lists without being asked, but real discovery always has to be
        // asked.
        mailbox.request_watch();
        let mailbox = Arc::new(Mutex::new(mailbox));
        let limits = SharedLimits::default();
        let effects = MailboxEffects { mailbox: mailbox.clone(), limits: limits.clone(), background };
        let balancer = Balancer::new(seed, settings, effects);
        Dispatcher { balancer: Arc::new(Mutex::new(balancer)), mailbox, limits }
    }

    /// Sets limits of the whole fleet that apply from now on. Only the first call has an effect.
    pub fn set_fleet_limits(&self, limits: Arc<dyn FleetLimits>) {
        let _ = self.limits.set(limits);
    }

    /// Sets this balancer's share of the limits for all balancers.
    pub fn set_fleet_share(&self, share: LeasedFleetShare) {
        lock(&self.mailbox).fleet_share = Some(share);
    }

    fn decide(&self, now: Timestamp, handle: impl FnOnce(&mut Balancer<MailboxEffects>)) {
        let mut balancer = lock(&self.balancer);
        let fleet_share = {
            let mut mailbox = lock(&self.mailbox);
            mailbox.now = now;
            mailbox.fleet_share
        };
        if let Some(share) = fleet_share.map(|share| share.at(now)) {
            balancer.settings.balancer_count = share.balancer_count;
            balancer.settings.slow_start.fleet_ratio = share.slow_start_ratio;
        }
        handle(&mut balancer);
    }

    /// Submits a request. Every submitted request gets a final answer.
    pub fn submit(&self, now: Timestamp, new: NewRequest) -> RequestId {
        let request = lock(&self.mailbox).add_request();
        let incoming = IncomingRequest {
            request,
            key: new.key,
            tenant: new.tenant,
            class: new.class,
            timeout: new.timeout,
            cost_estimate: new.cost_estimate,
        };
        self.decide(now, |balancer| balancer.on_request(now, incoming));
        request
    }

    /// Waits for the next step of the request. The request is released after its final answer.
    ///
    /// # Cancel safety
    /// A step that was not returned is returned by the next call. Only one task at a time may wait for a
    /// request.
    pub async fn next_step(&self, request: RequestId) -> NextStep {
        poll_fn(|cx| lock(&self.mailbox).poll_next_step(request, cx)).await
    }

    /// Waits until the attempt is cancelled. A cancelled attempt must still be reported.
    ///
    /// # Cancel safety
    /// A cancellation is returned by one call only.
    pub async fn cancelled(&self, attempt: &Attempt) {
        let key = (attempt.request, attempt.number);
        poll_fn(|cx| lock(&self.mailbox).poll_cancelled(key, cx)).await
    }

    /// Returns a check whether the attempt may still begin: it was not cancelled and is still allowed.
    pub fn begin_check(&self, attempt: &Attempt) -> impl Fn(Timestamp) -> bool + Send + 'static {
        let dispatcher = self.clone();
        let (request, number) = (attempt.request, attempt.number);
        move |now| {
            let is_cancelled = lock(&dispatcher.mailbox).is_cancelled((request, number));
            !is_cancelled && lock(&dispatcher.balancer).may_begin(now, request, number)
        }
    }

    /// Reports the end of an attempt. Returns true if its answer is the request's final answer, and false
    /// also if the request already has one.
    pub fn report_attempt(&self, now: Timestamp, attempt: Attempt, outcome: AttemptOutcome) -> bool {
        let Attempt { endpoint, request, number, decided_at } = attempt;
        let is_unanswered = lock(&self.mailbox).finish_attempt((request, number));
        let is_final = is_unanswered && outcome == AttemptOutcome::Succeeded;
        let finished = FinishedAttempt {
            request,
            attempt: number,
            endpoint,
            request_finished: is_final || !is_unanswered,
            outcome,
            duration: now - decided_at,
        };
        self.decide(now, |balancer| balancer.on_attempt_finished(now, finished));
        if is_final {
            self.release(now, request);
        }
        is_final
    }

    /// Reports that an attempt has started to send a body that can be sent only once.
    pub fn report_streaming(&self, now: Timestamp, request: RequestId) {
        self.decide(now, |balancer| balancer.on_stream_started(now, request));
    }

    /// Ends the request's time now. [`Dispatcher::next_step`] returns the final answer once the request's
    /// attempts have been reported.
    pub fn expire_now(&self, now: Timestamp, request: RequestId) {
        self.decide(now, |balancer| balancer.expire_now(now, request));
    }

    /// Reports that the client has disconnected or has its final answer.
    pub fn report_client_gone(&self, now: Timestamp, request: RequestId) {
        if lock(&self.mailbox).contains(request) {
            self.decide(now, |balancer| balancer.on_request_abandoned(now, request));
            self.release(now, request);
        }
    }

    /// Removes a request and the steps that were not fetched. Attempts among them are reported as not sent;
    /// otherwise they would count as in flight forever.
    fn release(&self, now: Timestamp, request: RequestId) {
        let steps = lock(&self.mailbox).remove_request(request);
        for step in steps {
            if let NextStep::Attempt(attempt) = step {
                self.report_attempt(now, attempt, AttemptOutcome::NotSent);
            }
        }
    }

    /// Waits until endpoints must be probed for their load. Each probe must be reported to
    /// [`Dispatcher::report_load_probe`].
    pub async fn load_probes_wanted(&self) -> Vec<EndpointId> {
        poll_fn(|cx| lock(&self.mailbox).poll_load_probes(cx)).await
    }

    /// Reports the result of a load probe.
    pub fn report_load_probe(&self, now: Timestamp, result: LoadProbeResult) {
        self.decide(now, |balancer| balancer.on_load_probe_finished(now, result));
    }

    /// Advances the time, applies a discovery event and fires due timers. Returns the time of the next tick.
    pub fn tick(&self, now: Timestamp, event: DiscoveryEvent) -> Option<Timestamp> {
        self.decide(now, |balancer| match event {
            DiscoveryEvent::None => {}
            DiscoveryEvent::Snapshot(updates) => balancer.on_endpoint_snapshot(now, updates),
            DiscoveryEvent::Updates(updates) => balancer.on_endpoint_updates(now, updates),
            DiscoveryEvent::Error => balancer.on_discovery_error(now),
        });
        // Timers that are set here and are already due fire at the next tick.
        let due = lock(&self.mailbox).take_due_timers(now);
        self.decide(now, |balancer| due.into_iter().for_each(|timer| balancer.on_timer(now, timer)));
        lock(&self.mailbox).schedule_next_tick()
    }

    /// Waits until a tick is needed earlier than the last tick returned.
    pub async fn earlier_tick_wanted(&self) {
        poll_fn(|cx| lock(&self.mailbox).earlier_tick.poll(cx)).await;
    }

    /// Waits until discovery must be asked: at the start, and after a failed call.
    pub async fn watch_wanted(&self) {
        poll_fn(|cx| lock(&self.mailbox).watch.poll(cx)).await;
    }

    /// Reports a fault that peers found at an endpoint, based on evidence from `since` or later.
    pub fn report_fault(&self, now: Timestamp, endpoint: EndpointId, since: Timestamp) {
        self.decide(now, |balancer| balancer.on_fault_report(now, endpoint, since));
    }

    /// Lists the endpoints that are ejected or on probation.
    pub fn ejected_endpoints(&self) -> Vec<EjectedEndpoint> {
        lock(&self.balancer).ejected_endpoints().collect()
    }

    /// Returns the number of ready endpoints that currently get no ordinary requests.
    pub fn avoided_endpoints(&self, now: Timestamp) -> usize {
        lock(&self.balancer).avoided_endpoints(now)
    }

    /// Returns the counts of the state that is held for unfinished requests.
    pub fn pending_counts(&self) -> PendingCounts {
        let unanswered = lock(&self.balancer).request_count();
        PendingCounts { unanswered, ..lock(&self.mailbox).pending_counts() }
    }

    /// Returns what the endpoints' answers have shown.
    pub fn evidence(&self) -> AnswerEvidence {
        let mut balancer = lock(&self.balancer);
        let learned = balancer.learned_state();
        let has_answered =
            learned.endpoints.ready().filter(|(_, endpoint)| endpoint.answered.last().is_some());
        AnswerEvidence {
            ready_endpoints: learned.endpoints.ready().count(),
            answered_endpoints: has_answered.count(),
            answer_count: learned.statistics.answer_count,
        }
    }

    /// Writes the learned state as text for the next process of this balancer.
    pub fn snapshot(&self, now: Timestamp) -> String {
        let mut balancer = lock(&self.balancer);
        snapshot::write(now, &balancer.learned_state())
    }

    /// Restores the learned state of another process of this balancer.
    pub fn restore(&self, now: Timestamp, text: &str) {
        let mut balancer = lock(&self.balancer);
        snapshot::read(text, now, &mut balancer.learned_state());
    }
}

/// Stores effects in the mailbox until a task fetches them.
struct MailboxEffects {
    mailbox: Arc<Mutex<Mailbox>>,
    limits: SharedLimits,
    background: Box<dyn BackgroundEffects>,
}

impl Effects for MailboxEffects {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId) {
        lock(&self.mailbox).start_attempt(request, endpoint);
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNumber) {
        lock(&self.mailbox).cancel_attempt((request, attempt));
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Ticks>) {
        lock(&self.mailbox).put_step(request, NextStep::Reject { retry_after });
    }

    fn fail(&mut self, request: RequestId) {
        lock(&self.mailbox).put_step(request, NextStep::Fail);
    }

    fn set_timer(&mut self, at: Timestamp, timer: TimerId) {
        lock(&self.mailbox).set_timer(at, timer);
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.background.close_idle_connections(endpoint);
    }

    fn watch_endpoints(&mut self) {
        lock(&self.mailbox).request_watch();
    }

    fn probe_load(&mut self, endpoint: EndpointId) {
        lock(&self.mailbox).request_load_probe(endpoint);
    }

    fn fleet_limit_wait(&mut self, now: Timestamp, tenant: TenantId) -> Option<Ticks> {
        self.limits.get()?.wait_time(now, tenant)
    }

    fn log(&mut self, line: &str) {
        self.background.log(line);
    }
}
