//! Mutants: deliberate bugs that show that the checker finds violations.
//!
//! Each mutant breaks one or more rules. It acts on a balancer's connections from outside; the balancer's own
//! code is the same as in production.

mod hooks;
mod requests;
mod responses;

pub use hooks::MutantHooks;

use crate::rule::Rule;

macro_rules! mutants {
    ($($name:ident $text:literal $rules:expr,)*) => {
        /// A deliberate bug.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Mutant { $(
            #[doc = concat!("Selected by `--plant ", $text, "`.")]
            $name
        ),* }

        impl Mutant {
            /// Every mutant.
            pub const ALL: &[Mutant] = &[$(Mutant::$name),*];

            /// Returns the name by which it is selected and printed.
            pub fn name(self) -> &'static str {
                match self { $(Mutant::$name => $text),* }
            }

            /// Returns the rules that it breaks; a violation of any of them counts as found.
            pub fn rules(self) -> &'static [Rule] {
                match self { $(Mutant::$name => &$rules),* }
            }
        }
    };
}

mutants! {
    RepeatedNonIdempotent "repeated-non-idempotent" [Rule::Repeated, Rule::ExecutedTwice],
    RepeatAfterWindow "repeat-after-window" [Rule::Repeated],
    RepeatOutsideScope "repeat-outside-scope" [Rule::Repeated, Rule::ExecutedTwice],
    AttemptAfterDrain "attempt-after-drain" [Rule::AttemptAfterDrain],
    SecondAnswer "second-answer" [Rule::SecondAnswer],
    NoAnswer "no-answer" [Rule::Unanswered],
    PreviousAnswer "previous-answer" [Rule::WrongAnswer],
    SlowStartOverload "slow-start-overload" [Rule::SlowStartOverload],
    RejectionAfterExecution "rejection-after-execution" [Rule::RejectedAfterExecution],
    LeakedTask "leaked-task" [Rule::Leak],
    LostWakeUp "lost-wake-up" [Rule::Unanswered, Rule::NoProgress],
    AttemptAfterAnswer "attempt-after-answer" [Rule::AttemptAfterAnswer],
    AlteredRequest "altered-request" [Rule::AlteredRequest],
    AttemptAfterEjection "attempt-after-ejection" [Rule::ManuallyEjected],
    StreamedTwice "streamed-twice" [Rule::StreamedTwice, Rule::Repeated, Rule::ExecutedTwice],
    TruncatedAnswer "truncated-answer" [Rule::WrongAnswer],
    UnexpiredAtExit "unexpired-at-exit" [Rule::Lost],
}
