//! Which endpoints of a pool are used.

use crate::common::{Harness, READ, settings};
use crate::{check, four_kinds, one_kind, trace_of, without_probes};
use doorproxy::settings::Settings;
use expect_test::expect;

#[test]
fn a_hot_key_spreads_when_its_endpoints_are_full() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3, 4]));
    harness.warm_up(20);
    for request in 0..12 {
        harness.request(request, READ, 1, 0.1);
    }
    check(
        &harness,
        expect![[r#"
            request 0 of class 0 arrives | send request 0 to 2
            request 1 of class 0 arrives | send request 1 to 3
            request 2 of class 0 arrives | send request 2 to 2
            request 3 of class 0 arrives | send request 3 to 3
            request 4 of class 0 arrives | send request 4 to 2
            request 5 of class 0 arrives | send request 5 to 4
            request 6 of class 0 arrives | send request 6 to 4
            request 7 of class 0 arrives | send request 7 to 3
            request 8 of class 0 arrives | send request 8 to 1
            request 9 of class 0 arrives | send request 9 to 1
            request 10 of class 0 arrives
            request 11 of class 0 arrives
        "#]],
    );
}

#[test]
fn many_balancers_spread_their_subsets_evenly() {
    let endpoints: Vec<u32> = (1..25).collect();
    let mut users = [0; 25];
    for balancer_index in 0..240 {
        let mut harness = Harness::new(
            Settings { balancer_count: 240, balancer_index, ..settings() },
            &one_kind(&endpoints),
        );
        for request in 0..8 {
            harness.request(request, READ, u64::from(request) + 1, 0.1).answered(request, 100).after_ms(9000);
        }
        let trace = harness.trace();
        for endpoint in endpoints.iter().filter(|id| trace.contains(&format!("to {id}\n"))) {
            users[*endpoint as usize] += 1;
        }
    }
    let (least, most) = (users[1..].iter().min(), users[1..].iter().max());
    expect!["an endpoint is used by Some(19) to Some(21)"]
        .assert_eq(&format!("an endpoint is used by {least:?} to {most:?}"));
}

#[test]
fn own_zone_is_preferred_while_it_has_capacity() {
    let mut harness = Harness::new(without_probes(), &four_kinds());
    for request in 0..24 {
        harness.request(request, READ, u64::from(request), 0.1);
    }
    let trace = trace_of(&harness);
    let zones = trace.lines().filter_map(|line| line.rsplit(' ').next()?.parse::<u32>().ok());
    let zones: String = zones.map(|endpoint| if endpoint % 2 == 0 { 'o' } else { 'x' }).collect();
    expect!["ooooooxxx"].assert_eq(&zones);
}

#[test]
fn a_key_goes_to_the_same_endpoint_through_every_balancer() {
    let first = |balancer_index| {
        let mut harness =
            Harness::new(Settings { balancer_index, ..without_probes() }, &one_kind(&[2, 4, 6, 8, 10]));
        let mut endpoints = Vec::new();
        for request in 0..8 {
            endpoints.push(harness.request(request, READ, u64::from(request), 0.1).last_endpoint());
            harness.answered(request, 100);
        }
        endpoints
    };
    expect![[r#"
        [2, 2, 2, 4, 6, 2, 6, 4]
        [2, 2, 2, 4, 6, 2, 6, 4]
    "#]]
    .assert_eq(&format!("{:?}\n{:?}\n", first(0), first(41)));
}
