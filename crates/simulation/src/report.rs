//! Prints the coverage of a series of runs.

use std::collections::BTreeMap;

use doorproxy_balancer::upstream::attempt_result::AttemptResult;

use crate::hard_cases::HardCase;
use crate::runner::{Coverage, fault_pair_name};
use crate::scenario::FaultKind;

/// Prints how often each fault, attempt result and hard case occurred, including those that never did.
pub fn print_coverage(coverage: &Coverage) {
    println!("faults:");
    for kind in FaultKind::ALL {
        let name = kind.name();
        println!("  {:8} {name}", count_of(&coverage.faults.0, name));
    }
    print_fault_pairs(coverage);
    println!("attempt results:");
    for name in AttemptResult::NAMES {
        println!("  {:8} {name}", count_of(&coverage.attempt_results.0, name));
    }
    println!("hard cases:");
    for case in HardCase::ALL {
        println!("  {:8} {}", count_of(&coverage.hard_cases.0, case.name()), case.name());
    }
    println!("observed by clients and servers:");
    for (name, count) in &coverage.outcomes.0 {
        println!("  {count:8} {name}");
    }
}

fn print_fault_pairs(coverage: &Coverage) {
    let kinds = FaultKind::ALL.iter().enumerate();
    let counts: Vec<u64> = kinds
        .flat_map(|(index, one)| FaultKind::ALL[index..].iter().map(|other| fault_pair_name(*one, *other)))
        .map(|name| count_of(&coverage.fault_pairs.0, &name))
        .collect();
    let missing = counts.iter().filter(|count| **count == 0).count();
    let rarest = counts.iter().min().copied().unwrap_or(0);
    println!(
        "pairs of faults: {} in total, {missing} never overlapped, the rarest overlapped {rarest} times",
        counts.len()
    );
}

fn count_of(counts: &BTreeMap<String, u64>, name: &str) -> u64 {
    counts.get(name).copied().unwrap_or(0)
}
