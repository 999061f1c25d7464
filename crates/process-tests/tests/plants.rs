//! Balancers that are wrong in one way each, on the same test cluster as the real ones: every checker is seen
//! to fail.

use std::path::Path;
use std::sync::Mutex;

use doorproxy_process_tests::cluster::{HANG_TIMEOUT, RunOptions, run_scenario};
use doorproxy_process_tests::scenario::Scenario;

/// Each plant, the rules as which it may show, and what makes it show beside the load.
const MUTANTS: &[(&str, &[&str], &str)] = &[
    ("twice", &["repeated", "effect-twice"], ""),
    ("token-late", &["repeated"], ""),
    ("after-answer", &["push-after-answer", "push-after-ttl"], ""),
    ("too-many", &["too-many-pushes"], ""),
    ("altered", &["altered-op"], ""),
    ("no-answer", &["unanswered"], ""),
    ("second-answer", &["second-answer"], ""),
    ("other-answer", &["wrong-answer"], ""),
    // All fail: with one failing, in a third of the plays no non-idempotent request came to it.
    ("nack-after-run", &["nack-after-run"], "what = \"fail\"\nwho = \"u*\"\nfor = 3.0"),
    ("turned-away", &["turned-away"], ""),
    ("after-drain", &["drain"], "what = \"drain\"\nwho = \"u0\""),
    ("after-ban", &["ban"], "what = \"put-out\"\nwho = \"u0 at n0\""),
    ("cold-flood", &["cold"], "what = \"restart\"\nwho = \"u0\""),
    ("list-loop", &["list-loop"], ""),
    ("crash", &["crash"], ""),
    ("stays", &["never-ended"], ""),
    ("stuck", &["no-progress"], ""),
    ("deaf", &["stale"], "what = \"drain\"\nwho = \"u0\""),
];

fn broken_rules(plant: &str, fault: &str) -> Vec<&'static str> {
    // What comes 5.5 s late has to come within the play, on a busy machine as well.
    let seconds = if plant == "token-late" { 9.0 } else { 5.0 };
    // a warming one bears so little that eight attempts for each look are too many also where the test
    // cluster has half a core.
    let mut text = format!(
        "seed = 11\nseconds = {seconds:?}\n\
         fleet = {{ balancers = 2, upstreams = 4, ask_within_s = 2.0, cold_from = 0.05, warm_s = 30.0 }}\n\
         load = {{ rate = 120.0, work_ms = 30.0, ttl_ms = 1000.0, top = 0.3, buy = 0.3, leave = 0.0 }}\n"
    );
    if !fault.is_empty() {
        text += &format!("[[fault]]\nat = 0.5\n{fault}\n");
    }
    let folder = tempfile::tempdir().unwrap();
    // Two mutants never come to their end; only a wrong verdict on the good one could come of haste.
    let guard = if plant == "none" { HANG_TIMEOUT } else { 8_000_000 };
    let program = Path::new(env!("CARGO_BIN_EXE_doorproxy-planted")).to_path_buf();
    let arguments = ["--plant", plant].map(String::from).to_vec();
    let staging =
        RunOptions { program, arguments, directory: folder.path().to_path_buf(), hang_timeout: guard };
    let played = run_scenario(&Scenario::parse(&text).unwrap(), &staging).unwrap();
    played.broken_rules().into_iter().collect()
}

/// So many plays side by side: they wait more than they work, and all at once a machine with other work
/// starves them.
const PARALLEL_RUNS: usize = 11;

#[test]
fn every_mutant_is_found_and_a_correct_balancer_is_not() {
    let none = ["drain\"\nwho = \"u0", "restart\"\nwho = \"u1", "put-out\"\nwho = \"u2 at n0"];
    let none = none.map(|fault| ("none", &[][..], format!("what = \"{fault}\"")));
    let planted = MUTANTS.iter().map(|(plant, rules, fault)| (*plant, *rules, fault.to_string()));
    // Taken from the end: first those that must be clean, beside all others.
    let left = Mutex::new(planted.chain(none).collect::<Vec<_>>());
    let missed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let Some((plant, rules, fault)) = left.lock().unwrap().pop() else { return };
                    let found = broken_rules(plant, &fault);
                    let is_right = if rules.is_empty() {
                        found.is_empty()
                    } else {
                        rules.iter().any(|rule| found.contains(rule))
                    };
                    if !is_right {
                        missed.lock().unwrap().push((plant, found));
                    }
                }
            });
        }
    });
    let missed = missed.into_inner().unwrap();
    assert!(missed.is_empty(), "not as expected: {missed:?}");
}
