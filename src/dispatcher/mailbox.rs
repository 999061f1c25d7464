//! Holds the effects of decisions until a task fetches them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::task::{Context, Poll, Waker};

use super::{Attempt, LeasedFleetShare, NextStep, PendingCounts};
use crate::ids::{AttemptNumber, EndpointId, RequestId, TimerId, Timestamp};

/// Identifies an attempt of a request.
pub type AttemptKey = (RequestId, AttemptNumber);

pub struct Mailbox {
    /// The time of the current decision.
    pub now: Timestamp,
    /// `None` while the number of balancers comes from the settings.
    pub fleet_share: Option<LeasedFleetShare>,
    pub earlier_tick: Signal,
    pub watch: Signal,
    requests: BTreeMap<RequestId, RequestSteps>,
    /// A signal for each attempt, raised when the attempt is cancelled.
    cancellations: BTreeMap<AttemptKey, Signal>,
    timers: BinaryHeap<Reverse<(Timestamp, TimerId)>>,
    next_tick: Option<Timestamp>,
    /// Endpoints to probe for their load.
    load_probes: VecDeque<EndpointId>,
    load_probe: Signal,
    last_request: u32,
}

/// The steps of one request.
#[derive(Default)]
struct RequestSteps {
    steps: VecDeque<NextStep>,
    attempt_count: u16,
    waker: Option<Waker>,
}

impl RequestSteps {
    fn has_final_step(&self) -> bool {
        self.steps.iter().any(NextStep::is_final)
    }

    fn put(&mut self, step: NextStep) {
        self.steps.push_back(step);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// A flag that is raised once and consumed by the single task that waits for it.
#[derive(Default)]
pub struct Signal {
    is_raised: bool,
    waker: Option<Waker>,
}

impl Signal {
    fn raise(&mut self) {
        self.is_raised = true;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub fn poll(&mut self, cx: &Context) -> Poll<()> {
        if std::mem::take(&mut self.is_raised) {
            return Poll::Ready(());
        }
        self.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl Mailbox {
    pub fn new(now: Timestamp) -> Mailbox {
        Mailbox {
            now,
            fleet_share: None,
            earlier_tick: Signal::default(),
            watch: Signal::default(),
            requests: BTreeMap::new(),
            cancellations: BTreeMap::new(),
            timers: BinaryHeap::new(),
            next_tick: None,
            load_probes: VecDeque::new(),
            load_probe: Signal::default(),
            last_request: 0,
        }
    }

    /// Adds a request with a new id. Ids wrap around only after months, while a request lives for seconds.
    pub fn add_request(&mut self) -> RequestId {
        self.last_request = self.last_request.wrapping_add(1);
        let request = RequestId(self.last_request);
        self.requests.insert(request, RequestSteps::default());
        request
    }

    pub fn contains(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Removes a request and returns the steps that were not fetched.
    pub fn remove_request(&mut self, request: RequestId) -> VecDeque<NextStep> {
        self.requests.remove(&request).map(|steps| steps.steps).unwrap_or_default()
    }

    pub fn put_step(&mut self, request: RequestId, step: NextStep) {
        if let Some(steps) = self.requests.get_mut(&request) {
            steps.put(step);
        }
    }

    pub fn poll_next_step(&mut self, request: RequestId, cx: &Context) -> Poll<NextStep> {
        let Some(steps) = self.requests.get_mut(&request) else { return Poll::Pending };
        let Some(step) = steps.steps.pop_front() else {
            steps.waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        if step.is_final() {
            self.requests.remove(&request);
        }
        Poll::Ready(step)
    }

    pub fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId) {
        let decided_at = self.now;
        let Some(steps) = self.requests.get_mut(&request) else { return };
        let number = AttemptNumber(steps.attempt_count);
        steps.attempt_count += 1;
        steps.put(NextStep::Attempt(Attempt { endpoint, request, number, decided_at }));
        self.cancellations.insert((request, number), Signal::default());
    }

    pub fn cancel_attempt(&mut self, attempt: AttemptKey) {
        if let Some(cancellation) = self.cancellations.get_mut(&attempt) {
            cancellation.raise();
        }
    }

    pub fn poll_cancelled(&mut self, attempt: AttemptKey, cx: &Context) -> Poll<()> {
        match self.cancellations.get_mut(&attempt) {
            Some(cancellation) => cancellation.poll(cx),
            None => Poll::Pending,
        }
    }

    /// Returns whether the attempt was cancelled or has finished.
    pub fn is_cancelled(&self, attempt: AttemptKey) -> bool {
        self.cancellations.get(&attempt).is_none_or(|cancellation| cancellation.is_raised)
    }

    /// Marks the attempt as finished. Returns true if its request still has no final answer.
    pub fn finish_attempt(&mut self, attempt: AttemptKey) -> bool {
        self.cancellations.remove(&attempt);
        self.requests.get(&attempt.0).is_some_and(|steps| !steps.has_final_step())
    }

    pub fn set_timer(&mut self, at: Timestamp, timer: TimerId) {
        self.timers.push(Reverse((at, timer)));
        if self.next_tick.is_none_or(|next_tick| at < next_tick) {
            self.next_tick = Some(at);
            self.earlier_tick.raise();
        }
    }

    pub fn take_due_timers(&mut self, now: Timestamp) -> Vec<TimerId> {
        let mut due = Vec::new();
        while let Some(&Reverse((at, timer))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            due.push(timer);
        }
        due
    }

    /// Returns the time of the next timer, which is the time of the next tick.
    pub fn schedule_next_tick(&mut self) -> Option<Timestamp> {
        self.next_tick = self.timers.peek().map(|&Reverse((at, _))| at);
        self.next_tick
    }

    pub fn request_watch(&mut self) {
        self.watch.raise();
    }

    pub fn request_load_probe(&mut self, endpoint: EndpointId) {
        self.load_probes.push_back(endpoint);
        self.load_probe.raise();
    }

    pub fn poll_load_probes(&mut self, cx: &Context) -> Poll<Vec<EndpointId>> {
        self.load_probe.poll(cx).map(|()| self.load_probes.drain(..).collect())
    }

    /// Counts what the mailbox holds, without the `unanswered` requests of the balancer.
    pub fn pending_counts(&self) -> PendingCounts {
        PendingCounts {
            requests: self.requests.len(),
            attempts: self.cancellations.len(),
            timers: self.timers.len(),
            unanswered: 0,
        }
    }
}
