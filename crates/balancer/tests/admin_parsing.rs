//! Tests the parsers for the bodies of calls to the admin API.

use doorproxy_balancer::admin::routes::{parse_endpoint_name, parse_permit_call};
use doorproxy_balancer::permits::PermitAction;
use doorproxy_leases::caller_grants::Caller;

#[test]
fn permit_body_is_a_name_with_optional_seconds_and_caller() {
    let bodies = [
        "restart",
        " restart 60\n",
        "restart 1.5",
        "restart 1 deploy-7",
        "",
        "restart x",
        "restart -1",
        "restart 1 2 3",
        "restart nan",
    ];
    let parsed = bodies.map(|body| {
        let call = parse_permit_call(body.as_bytes(), PermitAction::Acquire)?;
        assert_eq!(call.action, PermitAction::Acquire);
        Some((call.name, call.renewal.0, call.caller))
    });
    let unnamed = |renewal| Some(("restart", renewal, Caller::Unnamed));
    let named = Some(("restart", 10_000, Caller::Named("deploy-7".to_string())));
    let valid = [unnamed(0), unnamed(600_000), unnamed(15_000), named];
    assert_eq!(parsed[..4], valid);
    assert_eq!(parsed[4..], [const { None }; 5]);
}

#[test]
fn override_body_is_exactly_one_endpoint_name() {
    let bodies = ["s-1", " s-1\r\n", "", " ", "s-1 s-2", "s-1,s-2", "s-1\ns-2", "s\u{0}", "\u{e9}"];
    let is_valid = bodies.map(|body| parse_endpoint_name(body.as_bytes()).is_some());
    assert_eq!(is_valid, [true, true, false, false, false, false, false, false, true]);
    assert_eq!(parse_endpoint_name(b"\xff"), None);
}
