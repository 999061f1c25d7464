//! The same decisions as network code meets them.

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

/// What is ready at once; `None` where one would have to wait.
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
        other => panic!("an attempt expected, not {other:?}"),
    }
}

#[test]
fn one_answer_is_final_and_the_other_attempt_is_cancelled() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    let request = submit(&dispatcher, Timestamp(0), READ);
    let first = next_attempt(&dispatcher, request);
    trace.line(format_args!(
        "attempt to {}; next {:?}",
        first.endpoint.0,
        now_or_never(dispatcher.next_step(request))
    ));
    let next = dispatcher.tick(Timestamp(0), DiscoveryEvent::None).expect("patience that ends");
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
        "first answers as well: {}",
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
        first answers as well: false
        next None
    "#]]
    .assert_eq(&trace.text());
}

/// Prevents an effect done twice: the window passes, or an endpoint is replaced, between the decision and the
/// first byte.
#[test]
fn a_retry_may_begin_only_within_its_window_and_where_its_endpoint_still_shares_the_scope() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    dispatcher.tick(Timestamp(0), DiscoveryEvent::Snapshot(&one_kind(&[10, 12, 14])));
    let request = submit(&dispatcher, Timestamp(0), TOP_UP);
    let first = next_attempt(&dispatcher, request);
    let began = [Timestamp(0), Timestamp(14_000)].map(|at| dispatcher.begin_check(&first)(at));
    trace.line(format_args!("the first, where nothing may have run, early and late: {began:?}"));
    dispatcher.report_attempt(Timestamp(1_000), first, AttemptOutcome::ConnectionReset);
    let second = next_attempt(&dispatcher, request);
    let may_begin = dispatcher.begin_check(&second);
    trace.line(format_args!(
        "the repeat within 1 s of the first, and then: {:?}",
        [9_999, 10_000].map(Timestamp).map(&may_begin)
    ));
    let moved = EndpointUpdate { zone: ZoneId(1), ..ready_update(second.endpoint.0, 0) };
    dispatcher.tick(Timestamp(5_000), DiscoveryEvent::Updates(&[moved]));
    trace.line(format_args!("once another zone has its endpoint: {}", may_begin(Timestamp(5_000))));
    dispatcher.report_client_gone(Timestamp(5_000), request);
    trace.line(format_args!("once its client has gone: {}", may_begin(Timestamp(5_000))));
    expect![[r#"
        the first, where nothing may have run, early and late: [true, true]
          log: endpoint 14 ejected for 743 ms: its connection broke
        the repeat within 1 s of the first, and then: [true, false]
        once another zone has its endpoint: false
        once its client has gone: false
    "#]]
    .assert_eq(&trace.text());
}

#[test]
fn a_request_gets_one_final_answer_and_a_client_that_has_gone_is_forgotten() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    let (gone, broken) = (submit(&dispatcher, Timestamp(0), ORDER), submit(&dispatcher, Timestamp(0), ORDER));
    let attempt = next_attempt(&dispatcher, gone);
    dispatcher.report_client_gone(Timestamp(10), gone);
    trace.line(format_args!("cancelled: {:?}", now_or_never(dispatcher.cancelled(&attempt))));
    trace.line(format_args!(
        "an answer all the same: {}",
        dispatcher.report_attempt(Timestamp(20), attempt, AttemptOutcome::Succeeded)
    ));
    let attempt = next_attempt(&dispatcher, broken);
    trace.line(format_args!(
        "breaks: {}",
        dispatcher.report_attempt(Timestamp(30), attempt, AttemptOutcome::ConnectionReset)
    ));
    trace.line(format_args!("next {:?}", now_or_never(dispatcher.next_step(broken))));
    trace.line(format_args!("and then {:?}", now_or_never(dispatcher.next_step(broken))));
    let never_fetched = submit(&dispatcher, Timestamp(40), READ);
    dispatcher.report_client_gone(Timestamp(50), never_fetched);
    dispatcher.tick(Timestamp(60), DiscoveryEvent::Error);
    trace.line(format_args!("asked for the list at once: {:?}", now_or_never(dispatcher.watch_wanted())));
    trace.line(format_args!("wanted again: {:?}", now_or_never(dispatcher.watch_wanted())));
    dispatcher.tick(Timestamp(100_000), DiscoveryEvent::None);
    trace.line(format_args!("then: {:?}", now_or_never(dispatcher.watch_wanted())));
    expect![[r#"
        cancelled: Some(())
        an answer all the same: false
          log: endpoint 10 ejected for 573 ms: its connection broke
        breaks: false
        next Some(Fail)
        and then None
        asked for the list at once: Some(())
        wanted again: None
        then: Some(())
    "#]]
    .assert_eq(&trace.text());
}

#[test]
fn an_attempt_that_was_not_fetched_in_time_does_not_stay_in_flight() {
    let trace = Trace::default();
    let dispatcher = new_dispatcher(&trace);
    let request = submit(&dispatcher, Timestamp(0), READ);
    let first = next_attempt(&dispatcher, request);
    let next = dispatcher.tick(Timestamp(0), DiscoveryEvent::None).expect("patience that ends");
    dispatcher.tick(next, DiscoveryEvent::None);
    trace.line(format_args!(
        "hedged request decided; first answers: {}",
        dispatcher.report_attempt(next, first, AttemptOutcome::Succeeded)
    ));
    for _ in 0..2 {
        let attempt = next_attempt(&dispatcher, submit(&dispatcher, next, READ));
        trace.line(format_args!("attempt to {}", attempt.endpoint.0));
    }
    expect![[r#"
        hedged request decided; first answers: true
        attempt to 11
        attempt to 10
    "#]]
    .assert_eq(&trace.text());
}
