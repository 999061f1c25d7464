//! Checks that the checkers find mutants: balancers with one fault each, run on the same test cluster as the
//! real ones.

use std::path::Path;
use std::sync::Mutex;

use doorproxy_process_tests::cluster::{HANG_TIMEOUT, RunOptions, run_scenario};
use doorproxy_process_tests::scenario::Scenario;

/// Each mutant: its name, the rules of which it must violate at least one, and the fault that it needs to
/// show, if the load alone is not enough.
const MUTANTS: &[(&str, &[&str], &str)] = &[
    ("twice", &["repeated", "effect-twice"], ""),
    ("token-late", &["repeated"], ""),
    ("after-answer", &["push-after-answer", "push-after-ttl"], ""),
    ("too-many", &["too-many-pushes"], ""),
    ("altered", &["altered-op"], ""),
    ("no-answer", &["unanswered"], ""),
    ("second-answer", &["second-answer"], ""),
    ("other-answer", &["wrong-answer"], ""),
    // All endpoints fail: with only one failing, it received no non-idempotent request in a third of the
    // runs.
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

/// Runs a mutant and returns the rules that it violates; the mutant `none` is a correct balancer.
fn violated_rules(mutant: &str, fault: &str) -> Vec<&'static str> {
    // This mutant sends an attempt 5.5 s late, which has to arrive within the run on a busy machine too.
    let seconds = if mutant == "token-late" { 9.0 } else { 5.0 };
    // A warming endpoint has so little capacity that eight attempts for each idempotent request overload it
    // even if the test cluster gets only half a core.
    let mut text = format!(
        "seed = 11\nseconds = {seconds:?}\n\
         fleet = {{ balancers = 2, upstreams = 4, ask_within_s = 2.0, cold_from = 0.05, warm_s = 30.0 }}\n\
         load = {{ rate = 120.0, work_ms = 30.0, ttl_ms = 1000.0, top = 0.3, buy = 0.3, leave = 0.0 }}\n"
    );
    if !fault.is_empty() {
        text += &format!("[[fault]]\nat = 0.5\n{fault}\n");
    }
    let directory = tempfile::tempdir().unwrap();
    // Two mutants never end by themselves, so mutants get a short timeout. It could only cause a false
    // violation for a correct balancer, which gets the full one.
    let hang_timeout = if mutant == "none" { HANG_TIMEOUT } else { 8_000_000 };
    let program = Path::new(env!("CARGO_BIN_EXE_doorproxy-mutant")).to_path_buf();
    let arguments = ["--mutant", mutant].map(String::from).to_vec();
    let options = RunOptions { program, arguments, directory: directory.path().to_path_buf(), hang_timeout };
    let report = run_scenario(&Scenario::parse(&text).unwrap(), &options).unwrap();
    report.violated_rules().into_iter().collect()
}

/// The number of concurrent runs. They wait more than they compute, but all at once would be starved on a
/// machine with other work.
const PARALLEL_RUNS: usize = 11;

#[test]
fn mutants_violate_rules_and_a_correct_balancer_does_not() {
    let correct = ["drain\"\nwho = \"u0", "restart\"\nwho = \"u1", "put-out\"\nwho = \"u2 at n0"];
    let correct = correct.map(|fault| ("none", &[][..], format!("what = \"{fault}\"")));
    let mutants = MUTANTS.iter().map(|(mutant, rules, fault)| (*mutant, *rules, fault.to_string()));
    // Runs are taken from the end, so the correct balancers run while the machine is busiest.
    let remaining = Mutex::new(mutants.chain(correct).collect::<Vec<_>>());
    let unexpected = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let Some((mutant, rules, fault)) = remaining.lock().unwrap().pop() else { return };
                    let violated = violated_rules(mutant, &fault);
                    let is_expected = if rules.is_empty() {
                        violated.is_empty()
                    } else {
                        rules.iter().any(|rule| violated.contains(rule))
                    };
                    if !is_expected {
                        unexpected.lock().unwrap().push((mutant, violated));
                    }
                }
            });
        }
    });
    let unexpected = unexpected.into_inner().unwrap();
    assert!(unexpected.is_empty(), "unexpected violated rules by mutant: {unexpected:?}");
}
