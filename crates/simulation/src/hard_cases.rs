//! Hard cases: coincidences that the runs as a whole must cover.

macro_rules! hard_cases {
    ($($name:ident $text:literal,)*) => {
        /// A coincidence of events that is easy to handle wrongly.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum HardCase { $(
            #[doc = concat!("Printed as `", $text, "`.")]
            $name
        ),* }

        impl HardCase {
            /// All cases in the order of their numbers.
            pub const ALL: &[HardCase] = &[$(HardCase::$name),*];

            /// Returns the printed name.
            pub fn name(self) -> &'static str {
                match self { $(HardCase::$name => $text),* }
            }
        }
    };
}

// The order determines the numbers of the cases. The generated scenarios and the names of the files in
// `tests/cases` depend on them, so the order must not change.
hard_cases! {
    DrainAtRetry "a drain notice at the time of a retry",
    AnswerAfterTimeout "a non-idempotent request times out and is answered later",
    AnswerAtDeadline "an answer at the deadline",
    CloseCrossesRequest "a close crosses a request, which the client sends again",
    ServerDiesBeforeAnswer "a server dies between the last byte of a request and the answer",
    AddressReusedWhileConnecting "an address gets a new server while an attempt connects",
    DiscoveryOutageWithZoneLoss "a discovery outage together with the loss of a zone",
    ShutdownDuringStorm "SIGTERM during a request storm",
    RetryThroughAnotherBalancer "a balancer is killed and its requests are retried through another",
    AllServersWarmingUp "all servers warm up together",
}
