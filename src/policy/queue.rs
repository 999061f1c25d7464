//! The queue of waiting requests: their order, how many may wait, and for how long.

use super::Balancer;
use crate::effects::Effects;
use crate::ids::{RequestId, Ticks, Timestamp};
use crate::request::Progress;
use crate::route_table::DEFAULT_POOL;

/// The most waiting requests that are skipped in search of one that fits. More would cost too much CPU time.
const MAX_SKIPPED: usize = 8;
/// The time that each waiting request is assumed to need before the next is served, in median durations.
/// Pacing and slow start withhold much of the capacity that becomes free, and a quick rejection is better
/// than one after a wait.
const DURATIONS_PER_TURN: f64 = 4.0;
/// The first deferral of a request without an available endpoint, as a fraction of the typical attempt
/// duration. It doubles with each further deferral.
const DEFERRAL_RATIO: f64 = 0.25;
const MAX_DEFERRAL_DOUBLINGS: u32 = 4;

impl<E: Effects> Balancer<E> {
    /// Queues a request, or gives its final answer if no capacity will become free in time.
    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        if !self.uses_whole_pools() {
            self.admission.overloaded_at = Some(now);
        }
        let due_at = self.latest_placement(id);
        self.request_mut(id).due_at = due_at;
        if due_at <= now || !self.may_capacity_free_up(now, due_at) {
            return self.finish_unanswered(now, id);
        }
        self.schedule_wait_timer(now, id);
        self.request_mut(id).progress = Progress::Waiting;
        self.insert_in_order(id);
        self.trim_queue(now);
    }

    /// Returns the latest time at which a request can be placed in its home pool and still be answered with a
    /// value above zero.
    fn latest_placement(&self, id: RequestId) -> Timestamp {
        let request = self.request(id);
        let class = self.settings.class(request.incoming.class);
        let service_times = self.statistics.service_times(self.home_pool(request));
        let service_time = service_times.map_or(0.0, |service_times| service_times.median);
        let latest_answer =
            if class.late_weight_ratio > 0.0 { request.deadline } else { request.objective_at };
        latest_answer - Ticks::from_secs_f64(service_time * request.cost)
    }

    /// Returns whether capacity can become free: by an answer, or when pacing allows another attempt.
    fn may_capacity_free_up(&self, now: Timestamp, by: Timestamp) -> bool {
        self.uses_whole_pools() || self.attempts_in_flight > 0 || self.pauses_ending_by(now, by) > 0
    }

    /// Inserts the request by descending weight, then by the time of its latency objective.
    fn insert_in_order(&mut self, id: RequestId) {
        let new = self.request(id);
        let precedes = |waiting: &RequestId| {
            let waiting = self.request(*waiting);
            let by_weight = waiting.priority_weight.total_cmp(&new.priority_weight).reverse();
            by_weight.then(waiting.objective_at.cmp(&new.objective_at)).is_le()
        };
        let position = self.queue.partition_point(precedes);
        self.queue.insert(position, id);
    }

    /// Finishes requests at the end of the queue that would be served too late.
    fn trim_queue(&mut self, now: Timestamp) {
        if self.uses_whole_pools() {
            return;
        }
        let in_flight = f64::from(self.attempts_in_flight.max(1));
        let turn_secs = DURATIONS_PER_TURN * self.statistics.median_duration().as_secs_f64() / in_flight;
        while let Some(&last) = self.queue.last() {
            let due_at = self.request(last).due_at;
            let turns = self.queue.len().saturating_sub(self.pauses_ending_by(now, due_at));
            if now + Ticks::from_secs_f64(turn_secs * turns as f64) <= due_at {
                return;
            }
            self.finish_unanswered(now, last);
        }
    }

    /// Returns when the pauses of this balancer's paced endpoints end.
    fn pause_ends(&self, now: Timestamp) -> impl Iterator<Item = Timestamp> {
        let of_pool = |pool| std::iter::repeat_n(self.paced_until(pool), self.subset(pool).count());
        (0..self.rings.len()).flat_map(of_pool).filter(move |&until| until > now)
    }

    fn pauses_ending_by(&self, now: Timestamp, by: Timestamp) -> usize {
        self.pause_ends(now).filter(|&until| until < by).count()
    }

    /// Sets the timer of a waiting request to the end of its deferral, the end of the next pause, or the end
    /// of its wait. Without this timer, a request would wait for an answer even if this balancer has nothing
    /// in flight.
    fn schedule_wait_timer(&mut self, now: Timestamp, id: RequestId) {
        let request = self.request(id);
        let next_turn = if self.uses_whole_pools() {
            request.load_probes.retry_at.max(now + self.probe_budget.load_validity)
        } else {
            self.pause_ends(now).min().unwrap_or(request.due_at)
        };
        self.set_request_timer(next_turn.min(request.due_at), id);
    }

    pub(super) fn on_wait_timer(&mut self, now: Timestamp, id: RequestId, is_due: bool) {
        if is_due {
            return self.finish_unanswered(now, id);
        }
        self.serve_queue(now);
        if self.request(id).is_waiting() {
            self.schedule_wait_timer(now, id);
        }
    }

    /// Places waiting requests in order. A request that fits no free capacity, for example because only
    /// warming endpoints have any, does not block the requests behind it.
    pub(super) fn serve_queue(&mut self, now: Timestamp) {
        let mut position = 0;
        let mut skipped = 0;
        while skipped < MAX_SKIPPED {
            let Some(&next) = self.queue.get(position) else { return };
            let is_deferred = self.request(next).load_probes.retry_at > now;
            if !is_deferred && self.try_place(now, next) {
                self.queue.remove(position);
                continue;
            }
            position += 1;
            skipped += usize::from(!is_deferred);
        }
    }

    /// Defers a request that found no available endpoint. It is placed again when the load that it waits for
    /// arrives, or else after a delay that doubles each time.
    pub(super) fn defer(&mut self, now: Timestamp, id: RequestId) {
        let deferral = self.typical_duration(DEFAULT_POOL).mul_f64(DEFERRAL_RATIO);
        let load_validity = self.probe_budget.load_validity;
        let load_probes = &mut self.request_mut(id).load_probes;
        if load_probes.awaited.is_some() {
            load_probes.retry_at = now + load_validity;
            return;
        }
        let doublings = load_probes.deferrals.min(MAX_DEFERRAL_DOUBLINGS);
        load_probes.retry_at = now + deferral.mul_f64(f64::from(1_u32 << doublings));
        load_probes.deferrals += 1;
        load_probes.sent = 0;
        self.admission.overloaded_at = Some(now);
    }
}
