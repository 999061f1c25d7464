//! The decisions for network code that is written from top to bottom.
//!
//! A protocol server hands each request to [`Dispatcher::submit`], asks [`Dispatcher::next_step`] what to do with it
//! until there is a final answer, and tells [`Dispatcher::report_attempt`] how each attempt finished. One
//! task calls [`Dispatcher::tick`] with the time, and with what discovery has brought. Whatever protocol
//! stands in front, this is all that it meets. No decision is made here, and no socket is touched.

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

/// What the decisions read of a request.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Its class.
    pub class: ClassId,
    /// Whose quota it counts against.
    pub tenant: TenantId,
    /// Requests with one key go to the same endpoints where possible.
    pub key: Option<KeyHash>,
    /// Expected work in seconds of a standard core.
    pub cost_estimate: Option<f64>,
    /// How long the client stays, from now on.
    pub timeout: Ticks,
}

/// What is to be done with a request next.
#[derive(Debug)]
pub enum NextStep {
    /// Send an attempt; further steps follow.
    Attempt(Attempt),
    /// The final answer: the client may send the request again, best after this time.
    Reject {
        /// `None` where the client is given no such advice.
        retry_after: Option<Ticks>,
    },
    /// The final answer: it is unknown whether the request ran.
    Fail,
}

impl NextStep {
    fn is_final(&self) -> bool {
        !matches!(self, NextStep::Attempt(_))
    }
}

/// An attempt that is to be made. It is given back to [`Dispatcher::report_attempt`], and so is reported
/// once.
#[derive(Debug)]
pub struct Attempt {
    /// Where it goes.
    pub endpoint: EndpointId,
    request: RequestId,
    number: AttemptNumber,
    decided_at: Timestamp,
}

/// What discovery has brought.
pub enum DiscoveryEvent<'a> {
    /// Nothing; time passes.
    None,
    /// All endpoints there are.
    Snapshot(&'a [EndpointUpdate]),
    /// Endpoints that have changed.
    Updates(&'a [EndpointUpdate]),
    /// A call has failed.
    Error,
}

/// How many balancers share what all of them may do together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    /// Balancers among which it is shared.
    pub balancer_count: u32,
    /// The part of a warming endpoint's spare work that is theirs, in 0..=1.
    pub slow_start_ratio: f64,
}

/// A [`FleetShare`] that holds for a while, and what holds after it. It ends by itself, also in a process
/// that was stopped meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeasedFleetShare {
    /// Holds until then.
    pub current: FleetShare,
    /// When the current share ends.
    pub until: Timestamp,
    /// Holds from then on.
    pub fallback: FleetShare,
}

impl LeasedFleetShare {
    fn at(&self, now: Timestamp) -> FleetShare {
        if now < self.until { self.current } else { self.fallback }
    }
}

/// Effects that no request waits for.
pub trait BackgroundEffects: Send {
    /// See [`Effects::close_idle_connections`].
    fn close_idle_connections(&mut self, endpoint: EndpointId);

    /// See [`Effects::log`].
    fn log(&mut self, line: &str);
}

/// Limits that hold for the whole fleet. They are asked while a decision is made, and must answer at once.
pub trait FleetLimits: Send + Sync {
    /// See [`Effects::fleet_limit_wait`].
    fn wait_time(&self, now: Timestamp, tenant: TenantId) -> Option<Ticks>;
}

/// What is held for requests that are not over. Without requests all of it is zero in the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingCounts {
    /// Requests whose final answer has not been fetched.
    pub requests: usize,
    /// Attempts that may be cancelled.
    pub attempts: usize,
    /// Timers that have not gone off.
    pub timers: usize,
    /// Requests in the decisions.
    pub undecided: usize,
}

/// What the endpoints' own answers have shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// Endpoints that are ready.
    pub ready_endpoints: usize,
    /// Of those, the ones that have answered recently.
    pub answered_endpoints: usize,
    /// Answers measured since the start.
    pub answer_count: usize,
}

type SharedLimits = Arc<OnceLock<Arc<dyn FleetLimits>>>;

/// A handle on the decisions of one balancer. Clones share them.
#[derive(Clone)]
pub struct Dispatcher {
    balancer: Arc<Mutex<Balancer<MailboxEffects>>>,
    mailbox: Arc<Mutex<Mailbox>>,
    limits: SharedLimits,
}

/// # Panics
/// After a panic while it was locked: decisions that are half made cannot be followed by sound ones.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while deciding")
}

impl Dispatcher {
    /// Decisions that know no endpoint yet. `seed` is where their random numbers begin.
    pub fn new(
        now: Timestamp,
        seed: u64,
        settings: Settings,
        background: Box<dyn BackgroundEffects>,
    ) -> Dispatcher {
        let mut mailbox = Mailbox::new(now);
        // Where the simulator sends lists unasked, real discovery has to be asked all the same.
        mailbox.request_watch();
        let mailbox = Arc::new(Mutex::new(mailbox));
        let limits = SharedLimits::default();
        let effects = MailboxEffects { mailbox: mailbox.clone(), limits: limits.clone(), background };
        let balancer = Balancer::new(seed, settings, effects);
        Dispatcher { balancer: Arc::new(Mutex::new(balancer)), mailbox, limits }
    }

    /// From now on these limits of the whole fleet hold as well. Only the first call counts.
    pub fn set_fleet_limits(&self, limits: Arc<dyn FleetLimits>) {
        let _ = self.limits.set(limits);
    }

    /// From now on this share of what all balancers may do together holds.
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

    /// Hands over a request. From now on it is owed a final answer.
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

    /// Waits for what is to be done with the request next. After the final answer it is held no longer.
    ///
    /// # Cancel safety
    /// A step that was not returned is returned by the next call. One task at a time may wait for a request.
    pub async fn next_step(&self, request: RequestId) -> NextStep {
        poll_fn(|cx| lock(&self.mailbox).poll_next_step(request, cx)).await
    }

    /// Waits until the attempt is no longer wanted. It is still reported then.
    ///
    /// # Cancel safety
    /// A cancellation is seen once, by the call that returns.
    pub async fn cancelled(&self, attempt: &Attempt) {
        let key = (attempt.request, attempt.number);
        poll_fn(|cx| lock(&self.mailbox).poll_cancelled(key, cx)).await
    }

    /// A check whether the attempt may still begin: it was not cancelled, and the decisions still want it.
    pub fn begin_check(&self, attempt: &Attempt) -> impl Fn(Timestamp) -> bool + Send + 'static {
        let dispatcher = self.clone();
        let (request, number) = (attempt.request, attempt.number);
        move |now| {
            let is_cancelled = lock(&dispatcher.mailbox).is_cancelled((request, number));
            !is_cancelled && lock(&dispatcher.balancer).may_begin(now, request, number)
        }
    }

    /// Reports how an attempt finished. True where its answer is the request's final one; false also where
    /// that has been given.
    pub fn report_attempt(&self, now: Timestamp, attempt: Attempt, outcome: AttemptOutcome) -> bool {
        let Attempt { endpoint, request, number, decided_at } = attempt;
        let is_undecided = lock(&self.mailbox).finish_attempt((request, number));
        let is_final = is_undecided && outcome == AttemptOutcome::Succeeded;
        let finished = FinishedAttempt {
            request,
            attempt: number,
            endpoint,
            request_finished: is_final || !is_undecided,
            outcome,
            duration: now - decided_at,
        };
        self.decide(now, |balancer| balancer.on_attempt_finished(now, finished));
        if is_final {
            self.release(now, request);
        }
        is_final
    }

    /// The request's body can be sent only once, and an attempt has begun to send it.
    pub fn report_streaming(&self, now: Timestamp, request: RequestId) {
        self.decide(now, |balancer| balancer.on_stream_started(now, request));
    }

    /// The request has no more time. [`Dispatcher::next_step`] gives its final answer once its attempts have
    /// been reported.
    pub fn expire_now(&self, now: Timestamp, request: RequestId) {
        self.decide(now, |balancer| balancer.expire_now(now, request));
    }

    /// The client has gone, or has its final answer.
    pub fn report_client_gone(&self, now: Timestamp, request: RequestId) {
        if lock(&self.mailbox).contains(request) {
            self.decide(now, |balancer| balancer.on_request_abandoned(now, request));
            self.release(now, request);
        }
    }

    /// Drops what nobody fetched of a request. Attempts among it are reported, or they would count as in
    /// flight for ever.
    fn release(&self, now: Timestamp, request: RequestId) {
        let steps = lock(&self.mailbox).remove_request(request);
        for step in steps {
            if let NextStep::Attempt(attempt) = step {
                self.report_attempt(now, attempt, AttemptOutcome::NotSent);
            }
        }
    }

    /// Waits until endpoints are to be asked for their load. Each is reported to
    /// [`Dispatcher::report_load_probe`] in the end.
    pub async fn load_probes_wanted(&self) -> Vec<EndpointId> {
        poll_fn(|cx| lock(&self.mailbox).poll_load_probes(cx)).await
    }

    /// Reports the load that an endpoint reported, or that it reported none.
    pub fn report_load_probe(&self, now: Timestamp, result: LoadProbeResult) {
        self.decide(now, |balancer| balancer.on_load_probe_finished(now, result));
    }

    /// Lets time pass, and hands over what discovery has brought. Returns when to be called next.
    pub fn tick(&self, now: Timestamp, event: DiscoveryEvent) -> Option<Timestamp> {
        self.decide(now, |balancer| match event {
            DiscoveryEvent::None => {}
            DiscoveryEvent::Snapshot(updates) => balancer.on_endpoint_snapshot(now, updates),
            DiscoveryEvent::Updates(updates) => balancer.on_endpoint_updates(now, updates),
            DiscoveryEvent::Error => balancer.on_discovery_error(now),
        });
        // Timers that these set, and that are due at once, go off with the next tick.
        let due = lock(&self.mailbox).take_due_timers(now);
        self.decide(now, |balancer| due.into_iter().for_each(|timer| balancer.on_timer(now, timer)));
        lock(&self.mailbox).schedule_next_tick()
    }

    /// Waits until the next tick is wanted sooner than the last one said.
    pub async fn earlier_tick_wanted(&self) {
        poll_fn(|cx| lock(&self.mailbox).earlier_tick.poll(cx)).await;
    }

    /// Waits until discovery is to be asked: at the start, and after a call that failed.
    pub async fn watch_wanted(&self) {
        poll_fn(|cx| lock(&self.mailbox).watch.poll(cx)).await;
    }

    /// Peers report an endpoint as faulty, by evidence from `since` or later.
    pub fn report_fault(&self, now: Timestamp, endpoint: EndpointId, since: Timestamp) {
        self.decide(now, |balancer| balancer.on_fault_report(now, endpoint, since));
    }

    /// Endpoints that are ejected or on probation.
    pub fn ejected_endpoints(&self) -> Vec<EjectedEndpoint> {
        lock(&self.balancer).ejected_endpoints().collect()
    }

    /// How many ready endpoints get no ordinary requests now.
    pub fn avoided_endpoints(&self, now: Timestamp) -> usize {
        lock(&self.balancer).avoided_endpoints(now)
    }

    /// What is held for requests that are not over.
    pub fn pending_counts(&self) -> PendingCounts {
        let undecided = lock(&self.balancer).request_count();
        PendingCounts { undecided, ..lock(&self.mailbox).pending_counts() }
    }

    /// What the endpoints have shown by their own answers.
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

    /// What was learned, as a text that the next process of this balancer may go on from.
    pub fn snapshot(&self, now: Timestamp) -> String {
        let mut balancer = lock(&self.balancer);
        snapshot::write(now, &balancer.learned_state())
    }

    /// Goes on from what another process of this balancer has learned.
    pub fn restore(&self, now: Timestamp, text: &str) {
        let mut balancer = lock(&self.balancer);
        snapshot::read(text, now, &mut balancer.learned_state());
    }
}

/// Puts what the decisions want into the mailbox, for whoever fetches it.
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
