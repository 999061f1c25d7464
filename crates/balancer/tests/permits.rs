//! Tests a balancer's permit as the admin API and the peer thread use it, with times in virtual seconds.

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::permits::{Permit, PermitAction, PermitCall};
use doorproxy_leases::caller_grants::{Caller, MAX_CALLERS};
use doorproxy_leases::messages::FencingToken;
use doorproxy_leases::proposer::HeldLease;
use serde_json::Value;

const DRIFT: f64 = 0.05;

fn seconds(seconds: f64) -> Timestamp {
    Timestamp(Ticks::from_secs_f64(seconds).0)
}

/// A permit whose lease is held until 10 s.
fn held_permit() -> Permit {
    let mut permit = Permit::new(DRIFT);
    let lease = HeldLease { token: FencingToken(7), expires_at: seconds(10.0) };
    permit.publish(Some(lease), String::new());
    permit
}

fn call(permit: &mut Permit, at: f64, caller: &str, action: PermitAction, renewal: f64) -> Value {
    let caller = if caller.is_empty() { Caller::Unnamed } else { Caller::Named(caller.to_string()) };
    let renewal = Ticks::from_secs_f64(renewal);
    permit.call(seconds(at), &PermitCall { name: "restart", caller, action, renewal })
}

fn acquire(permit: &mut Permit, at: f64, caller: &str, renewal: f64) -> Option<f64> {
    call(permit, at, caller, PermitAction::Acquire, renewal)["for_s"].as_f64()
}

fn give_back(permit: &mut Permit, at: f64, caller: &str) -> Value {
    call(permit, at, caller, PermitAction::GiveBack, 0.0)
}

fn is_renewed(permit: &mut Permit, at: f64) -> bool {
    permit.decide_renewal(seconds(at))
}

/// Prevents the release of a lease while a caller with a slower clock still acts.
#[test]
fn lease_is_renewed_until_the_grant_is_over_by_any_clock() {
    let mut permit = held_permit();
    assert_eq!(acquire(&mut permit, 2.0, "", 0.0), Some(8.0));
    let granted_until = 2.0 + 8.0 * (1.0 + DRIFT) * (1.0 + DRIFT);
    assert!(is_renewed(&mut permit, granted_until));
    assert!(!is_renewed(&mut permit, granted_until + 0.001));
}

/// Prevents the release of a lease under a caller that acts, by other callers that ask for less or stop waiting.
#[test]
fn other_calls_do_not_shorten_a_granted_time() {
    let mut permit = held_permit();
    acquire(&mut permit, 0.0, "a", 20.0);
    acquire(&mut permit, 1.0, "b", 0.0);
    call(&mut permit, 2.0, "c", PermitAction::StopWaiting, 0.0);
    give_back(&mut permit, 3.0, "b");
    assert!(is_renewed(&mut permit, 19.9));
    assert!(!is_renewed(&mut permit, 20.0));
}

/// Prevents a lease that is held for no caller, after its only caller gave it back.
#[test]
fn lease_is_released_once_its_caller_gave_it_back() {
    let mut permit = held_permit();
    acquire(&mut permit, 0.0, "", 60.0);
    assert_eq!(give_back(&mut permit, 1.0, "")["held"], false);
    assert!(!is_renewed(&mut permit, 1.0));
    let mut permit = held_permit();
    acquire(&mut permit, 0.0, "a", 60.0);
    acquire(&mut permit, 0.5, "a", 60.0);
    assert_eq!(give_back(&mut permit, 1.0, "a")["held"], false);
    assert!(!is_renewed(&mut permit, 1.0));
}

/// Prevents the release of a lease under one of two callers without names, when the other gives it back.
#[test]
fn each_unnamed_call_is_given_back_by_itself() {
    let mut permit = held_permit();
    acquire(&mut permit, 0.0, "", 0.0);
    acquire(&mut permit, 1.0, "", 0.0);
    let answer = give_back(&mut permit, 2.0, "");
    assert_eq!((&answer["held"], &answer["token"]), (&true.into(), &7.into()));
    assert!(is_renewed(&mut permit, 10.0));
    assert_eq!(give_back(&mut permit, 3.0, "")["held"], false);
    assert!(!is_renewed(&mut permit, 3.0));
}

/// Prevents that a caller is granted a time between the decision to release the lease and its release.
#[test]
fn no_time_is_granted_once_the_release_is_decided() {
    let mut permit = held_permit();
    assert!(!is_renewed(&mut permit, 1.0));
    assert_eq!(acquire(&mut permit, 1.0, "", 0.0), None);
    assert!(is_renewed(&mut permit, 1.0));
}

/// Prevents a refusal without a reason before the process has joined the other balancers.
#[test]
fn permit_gives_a_reason_from_the_start() {
    let answer = call(&mut Permit::new(DRIFT), 0.0, "", PermitAction::Acquire, 0.0);
    assert_eq!(answer["why"], "this process has not joined the other balancers yet");
}

/// Prevents a lease that is acquired for callers that gave up.
#[test]
fn permit_is_not_requested_once_no_caller_waits() {
    let mut permit = Permit::new(DRIFT);
    assert_eq!(acquire(&mut permit, 0.0, "", 60.0), None);
    assert!(is_renewed(&mut permit, 59.9));
    call(&mut permit, 1.0, "", PermitAction::StopWaiting, 0.0);
    assert!(!is_renewed(&mut permit, 1.0));
}

/// Prevents unbounded memory for callers, and that one beyond the bound is granted a time.
#[test]
fn callers_beyond_the_bound_are_granted_no_time() {
    let mut permit = held_permit();
    for number in 0..MAX_CALLERS {
        assert!(acquire(&mut permit, 0.0, &format!("caller-{number}"), 0.0).is_some());
    }
    assert_eq!(acquire(&mut permit, 0.0, "one-more", 0.0), None);
    assert!(acquire(&mut permit, 0.0, "caller-0", 0.0).is_some());
    give_back(&mut permit, 0.0, "caller-1");
    assert!(acquire(&mut permit, 0.0, "one-more", 0.0).is_some());
}
