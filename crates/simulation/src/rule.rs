//! The rules that the checker applies to a run, with their printed names and numbers.

use std::fmt::{self, Display};

macro_rules! rules {
    ($($name:ident $number:literal $text:literal,)*) => {
        /// A rule of the service. `docs/design/faults.md` lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub enum Rule { $(
            #[doc = concat!("Printed as `", $text, "`.")]
            $name = $number
        ),* }

        impl Rule {
            /// Returns the printed name.
            pub fn name(self) -> &'static str {
                match self { $(Rule::$name => $text),* }
            }
        }
    };
}

// The committed sums include these numbers, so they must not change.
rules! {
    Unanswered 1 "unanswered",
    Lost 2 "lost",
    LateAnswer 3 "late-answer",
    SecondAnswer 4 "second-answer",
    WrongAnswer 5 "wrong-answer",
    Refused 6 "turned-away",
    AttemptAfterAnswer 7 "push-after-answer",
    AttemptAfterDisconnect 8 "push-after-client",
    AttemptAfterDeadline 9 "push-after-ttl",
    Repeated 10 "repeated",
    ExecutedTwice 11 "effect-twice",
    RejectedAfterExecution 12 "nack-after-run",
    TooManyAttempts 13 "too-many-pushes",
    StreamedTwice 14 "streamed-twice",
    AttemptAfterDrain 15 "drain",
    ManuallyEjected 16 "ban",
    SlowStartOverload 17 "cold",
    UnknownRequest 18 "unknown-op",
    AlteredRequest 19 "altered-op",
    NoProgress 20 "no-progress",
    Leak 21 "leak",
    NeverEnded 22 "never-ended",
}

impl Display for Rule {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.name())
    }
}
