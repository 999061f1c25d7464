use doorproxy::ids::Ticks;
use expect_test::expect;

use super::*;

fn format_changes(status: &StartupStatus) -> String {
    let line = |change: &StageChange| {
        format!("{} {} to {}: {}\n", change.at.0, change.from, change.to, change.cause)
    };
    status.changes().map(line).collect()
}

fn evidence(ready_endpoints: usize, answered_endpoints: usize, answer_count: usize) -> Evidence {
    Evidence { ready_endpoints, answered_endpoints, answer_count }
}

#[test]
fn each_stage_change_has_a_cause() {
    let mut status = StartupStatus::new(Timestamp(0));
    status.on_initial_list(Timestamp(1), 8, FactSource::StateDirectory, Age::Monotonic(Ticks(30_000)));
    status.on_discovery_error();
    status.on_evidence(Timestamp(2), evidence(8, 1, 3));
    status.on_evidence(Timestamp(3), evidence(8, 4, 9));
    status.on_evidence(Timestamp(4), evidence(8, 5, 40));
    status.on_discovery_snapshot(Timestamp(5), 9);
    status.on_evidence(Timestamp(6), evidence(9, 2, 44));
    status.on_discovery_snapshot(Timestamp(7), 0);
    status.on_discovery_snapshot(Timestamp(8), 9);
    let mut empty = StartupStatus::new(Timestamp(0));
    empty.on_initial_list(Timestamp(1), 0, FactSource::Configuration, Age::Unknown);
    empty.on_discovery_snapshot(Timestamp(9), 3);
    expect![[r#"
        1 nothing to doubtful: the state directory lists 8 endpoints; the list is 3.0 s old
        3 doubtful to learning: 4 of 8 endpoints have answered, 9 answers in total; discovery has not answered yet
        4 learning to full: 5 of 8 endpoints have answered, 40 answers in total; discovery has not answered yet
        6 full to learning: 2 of 9 endpoints have answered, 44 answers in total
        7 learning to nothing: discovery listed 0 endpoints
        8 nothing to learning: discovery listed 9 endpoints
        --
        9 nothing to listed: discovery listed 3 endpoints
    "#]].assert_eq(&(format_changes(&status) + "--\n" + &format_changes(&empty)));
}

/// An endpoint list that appears and disappears for days must not fill the memory with stage changes.
#[test]
fn stage_changes_are_bounded_and_the_first_is_kept() {
    let mut status = StartupStatus::new(Timestamp(0));
    for iteration in 0..1000 {
        status.on_discovery_snapshot(Timestamp(iteration), (iteration % 2) as usize);
    }
    let changes: Vec<_> = status.changes().collect();
    assert_eq!((changes.len(), changes[0].at, changes[63].at), (64, Timestamp(1), Timestamp(999)));
}
