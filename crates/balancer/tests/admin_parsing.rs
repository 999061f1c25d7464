//! Tests the parsers for the bodies of calls to the admin API.

use doorproxy_balancer::admin::routes::{parse_endpoint_name, parse_permit_request};

#[test]
fn permit_body_is_a_name_with_optional_seconds() {
    let bodies = [
        "restart",
        " restart 60\n",
        "restart 1.5",
        "",
        "restart x",
        "restart -1",
        "restart 1 2",
        "restart nan",
    ];
    let parsed = bodies.map(|body| {
        parse_permit_request(body.as_bytes()).map(|request| format!("{} {}", request.name, request.renewal.0))
    });
    let valid = |text: &str| Some(text.to_string());
    assert_eq!(
        parsed,
        [valid("restart 0"), valid("restart 600000"), valid("restart 15000"), None, None, None, None, None]
    );
}

#[test]
fn override_body_is_exactly_one_endpoint_name() {
    let bodies = ["s-1", " s-1\r\n", "", " ", "s-1 s-2", "s-1,s-2", "s-1\ns-2", "s\u{0}", "\u{e9}"];
    let is_valid = bodies.map(|body| parse_endpoint_name(body.as_bytes()).is_some());
    assert_eq!(is_valid, [true, true, false, false, false, false, false, false, true]);
    assert_eq!(parse_endpoint_name(b"\xff"), None);
}
