//! Checks the search on a known bug: two processes that increment a number without a lock lose an update.

use doorproxy_model_checker::{Model, Successors, explore};
use expect_test::expect;

/// Models two adders that increment a number, each by reading it and then writing it.
struct ConcurrentAdders {
    uses_lock: bool,
}

#[derive(Clone, Hash)]
struct AdderState {
    total: u8,
    values_read: [Option<u8>; 2],
    is_done: [bool; 2],
}

impl Model for ConcurrentAdders {
    type State = AdderState;
    type Step = (&'static str, usize);

    fn initial_states(&self) -> Vec<AdderState> {
        vec![AdderState { total: 0, values_read: [None; 2], is_done: [false; 2] }]
    }

    fn successors(&self, state: &AdderState) -> Vec<(Self::Step, AdderState)> {
        let mut successors = Successors::new(state);
        for adder in 0..2 {
            let other = 1 - adder;
            let is_locked = self.uses_lock && state.values_read[other].is_some() && !state.is_done[other];
            match state.values_read[adder] {
                None if is_locked => {}
                None => {
                    successors.add(("reads", adder), |after| after.values_read[adder] = Some(state.total))
                }
                Some(value) if !state.is_done[adder] => successors.add(("writes", adder), |after| {
                    after.total = value + 1;
                    after.is_done[adder] = true;
                }),
                Some(_) => {}
            }
        }
        successors.into_vec()
    }

    fn check_invariant(&self, state: &AdderState) -> Result<(), String> {
        if state.is_done == [true; 2] && state.total != 2 {
            return Err(format!("both adders are done, but the total is {}", state.total));
        }
        Ok(())
    }
}

/// The search must neither miss an order of steps nor report a truncated search as complete.
#[test]
fn a_lost_update_is_found_by_a_shortest_trace() {
    let found = explore(&ConcurrentAdders { uses_lock: false }, 10, 1000);
    expect![[r#"Exploration { state_count: 13, depth: 4, is_truncated: false, violation: Some(Violation { reason: "both adders are done, but the total is 1", trace: ["(\"reads\", 0)", "(\"reads\", 1)", "(\"writes\", 0)", "(\"writes\", 1)"] }) }"#]]
    .assert_eq(&format!("{found:?}"));
    let with_lock = explore(&ConcurrentAdders { uses_lock: true }, 10, 1000);
    assert_eq!((with_lock.violation, with_lock.is_truncated), (None, false));
    assert!(explore(&ConcurrentAdders { uses_lock: true }, 3, 1000).is_truncated);
    assert!(explore(&ConcurrentAdders { uses_lock: true }, 10, 4).is_truncated);
}
