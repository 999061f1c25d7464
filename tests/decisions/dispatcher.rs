//! The decisions through the interface for network code.

use crate::common::{ORDER, READ, TOP_UP, Trace, ready_update, settings};
use crate::one_kind;
use doorproxy::dispatcher::{Attempt, BackgroundEffects, DiscoveryEvent, Dispatcher, NewRequest, NextStep};
use doorproxy::effects::{AttemptOutcome, Effects, EndpointUpdate};
use doorproxy::ids::{ClassId, EndpointId, KeyHash, RequestId, TenantId, Ticks, Timestamp, ZoneId};
use expect_test::expect;
use std::task::{Context, Poll, Waker};

struct TraceLog(Trace);

impl BackgroundEffects for TraceLog {
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.0.close_idle_connections(endpoint);
    }

    fn log(&mut self, line: &str) {
        Effects::log(&mut self.0, line);
    }
}

/// Returns the output of a future that is ready, or `None` if it is pending.
fn now_or_never<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut context = Context::from_waker(Waker::noop());
    match std::pin::pin!(future).poll(&mut context) {
        Poll::Ready(output) => Some(output),
        Poll::Pending => None,
    }
}

fn new_dispatcher(trace: &Trace) -> Dispatcher {
    let dispatcher = Dispatcher::new(Timestamp(0), 7, settings(), Box::new(TraceLog(trace.clone())));
    dispatcher.tick(Timestamp(0), DiscoveryEvent::Snapshot(&one_kind(&[10, 11, 12])));
    dispatcher
}

fn submit(dispatcher: &Dispatcher, now: Timestamp, class: u16) -> RequestId {
    let request = NewRequest {
        class: ClassId(class),
        tenant: TenantId(0),
        key: Some(KeyHash(1)),
        cost_estimate: Some(0.1),
        timeout: Ticks::from_secs_f64(1.5),
    };
    dispatcher.submit(now, request)
}

fn next_attempt(dispatcher: &Dispatcher, request: RequestId) -> Attempt {
    match now_or_never(dispatcher.next_step(request)) {
        Some(NextStep::Attempt(attempt)) => attempt,
        other => panic!("expected an attempt, got {other:?}"),
    }
}

#[test]
fn first_answer_is_final_and_other_attempt_is_cancelled() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    let request = submit(&dispatcher, Timestamp(0), READ);
    let first = next_attempt(&dispatcher, request);
    trace.line(format_args!(
        "attempt to {}; next {:?}",
        first.endpoint.0,
        now_or_never(dispatcher.next_step(request))
    ));
    let next = dispatcher.tick(Timestamp(0), DiscoveryEvent::None).expect("a hedge timer");
    trace.line(format_args!("tick at {}: {:?}", next.0, dispatcher.tick(next, DiscoveryEvent::None)));
    let second = next_attempt(&dispatcher, request);
    trace.line(format_args!("attempt to {}", second.endpoint.0));
    trace.line(format_args!("cancelled: {:?}", now_or_never(dispatcher.cancelled(&first))));
    trace.line(format_args!(
        "second answers: {}",
        dispatcher.report_attempt(Timestamp(4000), second, AttemptOutcome::Succeeded)
    ));
    trace.line(format_args!("cancelled: {:?}", now_or_never(dispatcher.cancelled(&first))));
    trace.line(format_args!(
        "first answers too: {}",
        dispatcher.report_attempt(Timestamp(4001), first, AttemptOutcome::Succeeded)
    ));
    trace.line(format_args!("next {:?}", now_or_never(dispatcher.next_step(request))));
    expect![[r#"
        attempt to 11; next None
        tick at 3000: Some(Timestamp(6000))
        attempt to 10
        cancelled: None
        second answers: true
        cancelled: Some(())
        first answers too: false
        next None
    "#]]
    .assert_eq(&trace.text());
}

/// Guards against a repeated effect if the window passes, or the endpoint is replaced, between the decision
/// and the first byte.
#[test]
fn retry_begins_only_within_window_and_dedup_scope() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    dispatcher.tick(Timestamp(0), DiscoveryEvent::Snapshot(&one_kind(&[10, 12, 14])));
    let request = submit(&dispatcher, Timestamp(0), TOP_UP);
    let first = next_attempt(&dispatcher, request);
    let began = [Timestamp(0), Timestamp(14_000)].map(|at| dispatcher.begin_check(&first)(at));
    trace.line(format_args!("first attempt may begin, early and late: {began:?}"));
    dispatcher.report_attempt(Timestamp(1_000), first, AttemptOutcome::ConnectionReset);
    let second = next_attempt(&dispatcher, request);
    let may_begin = dispatcher.begin_check(&second);
    trace.line(format_args!(
        "repeat may begin, within the window of 1 s and after it: {:?}",
        [9_999, 10_000].map(Timestamp).map(&may_begin)
    ));
    let moved = EndpointUpdate { zone: ZoneId(1), ..ready_update(second.endpoint.0, 0) };
    dispatcher.tick(Timestamp(5_000), DiscoveryEvent::Updates(&[moved]));
    trace.line(format_args!("after its endpoint moved to another zone: {}", may_begin(Timestamp(5_000))));
    dispatcher.report_client_gone(Timestamp(5_000), request);
    trace.line(format_args!("after its client has gone: {}", may_begin(Timestamp(5_000))));
    expect![[r#"
        first attempt may begin, early and late: [true, true]
          log: endpoint 14 ejected, first probe request in 743 ms: connection reset
        repeat may begin, within the window of 1 s and after it: [true, false]
        after its endpoint moved to another zone: false
        after its client has gone: false
    "#]]
    .assert_eq(&trace.text());
}

#[test]
fn request_gets_one_final_answer_unless_its_client_has_gone() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    let (gone, broken) = (submit(&dispatcher, Timestamp(0), ORDER), submit(&dispatcher, Timestamp(0), ORDER));
    let attempt = next_attempt(&dispatcher, gone);
    dispatcher.report_client_gone(Timestamp(10), gone);
    trace.line(format_args!("cancelled: {:?}", now_or_never(dispatcher.cancelled(&attempt))));
    trace.line(format_args!(
        "answer after that: {}",
        dispatcher.report_attempt(Timestamp(20), attempt, AttemptOutcome::Succeeded)
    ));
    let attempt = next_attempt(&dispatcher, broken);
    trace.line(format_args!(
        "connection reset: {}",
        dispatcher.report_attempt(Timestamp(30), attempt, AttemptOutcome::ConnectionReset)
    ));
    trace.line(format_args!("next {:?}", now_or_never(dispatcher.next_step(broken))));
    trace.line(format_args!("and then {:?}", now_or_never(dispatcher.next_step(broken))));
    let never_fetched = submit(&dispatcher, Timestamp(40), READ);
    dispatcher.report_client_gone(Timestamp(50), never_fetched);
    dispatcher.tick(Timestamp(60), DiscoveryEvent::Error);
    trace.line(format_args!("watch wanted at the start: {:?}", now_or_never(dispatcher.watch_wanted())));
    trace.line(format_args!("watch wanted again: {:?}", now_or_never(dispatcher.watch_wanted())));
    dispatcher.tick(Timestamp(100_000), DiscoveryEvent::None);
    trace.line(format_args!("watch wanted after the backoff: {:?}", now_or_never(dispatcher.watch_wanted())));
    expect![[r#"
        cancelled: Some(())
        answer after that: false
          log: endpoint 10 ejected, first probe request in 573 ms: connection reset
        connection reset: false
        next Some(Fail)
        and then None
        watch wanted at the start: Some(())
        watch wanted again: None
        watch wanted after the backoff: Some(())
    "#]]
    .assert_eq(&trace.text());
}

#[test]
fn attempt_that_was_not_fetched_does_not_stay_in_flight() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    let request = submit(&dispatcher, Timestamp(0), READ);
    let first = next_attempt(&dispatcher, request);
    let next = dispatcher.tick(Timestamp(0), DiscoveryEvent::None).expect("a hedge timer");
    dispatcher.tick(next, DiscoveryEvent::None);
    trace.line(format_args!(
        "hedged request started; first attempt answers: {}",
        dispatcher.report_attempt(next, first, AttemptOutcome::Succeeded)
    ));
    for _ in 0..2 {
        let attempt = next_attempt(&dispatcher, submit(&dispatcher, next, READ));
        trace.line(format_args!("attempt to {}", attempt.endpoint.0));
    }
    expect![[r#"
        hedged request started; first attempt answers: true
        attempt to 11
        attempt to 10
    "#]]
    .assert_eq(&trace.text());
}
