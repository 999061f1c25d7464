//! The text format of one fault: its trigger, kind, targets, magnitude and duration.

use std::fmt::{self, Display, Write};
use std::str::FromStr;

use super::error::FaultError;
use super::units::{format_seconds, parse_time};
use crate::time::Micros;

macro_rules! fault_kinds {
    ($($variant:ident $name:literal $pattern:literal,)*) => {
        /// The kind of a fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum FaultKind { $(
            #[doc = concat!("Written as `", $pattern, "`.")]
            $variant
        ),* }

        impl FaultKind {
            /// All kinds in the order of their numbers.
            pub const ALL: &[FaultKind] = &[$(FaultKind::$variant),*];

            /// Returns the name under which coverage counts and prints the kind.
            pub fn name(self) -> &'static str {
                match self { $(FaultKind::$variant => $name),* }
            }

            /// Returns the pattern of the text of this kind. T stands for an endpoint, balancer or zone, O
            /// for the second target, X for the magnitude and D for the duration.
            pub fn pattern(self) -> &'static str {
                match self { $(FaultKind::$variant => $pattern),* }
            }
        }
    };
}

// The order determines the numbers of the kinds. The committed sums and the generated scenarios depend on
// them, so the order must not change.
fault_kinds! {
    KillServer "Kill" "kill server T for D",
    PowerOffServer "Vanish" "vanish server T for D",
    ReplaceServer "Replace" "replace server T after D",
    SlowServer "Slow" "slow server T by X for D",
    FailRequests "Fail" "fail server T for D",
    HangRequests "Hang" "hang server T for D",
    DeclineRequests "Full" "fill server T for D",
    MalformedResponses "Spoil" "spoil server T for D",
    UnannouncedClose "Rude" "rude server T for D",
    RespondAtDeadline "Brink" "brink server T for D",
    DrainServer "Drain" "drain server T for D",
    LimitConnections "Few" "crowd server T for D",
    IgnoreConnections "Deaf" "deafen server T for D",
    DelayAccepts "Late" "late server T by X for D",
    LoseZone "LoseZone" "lose zone T for D",
    RestartAllServers "AllCold" "restart all servers",
    DiscoveryDown "ListDown" "list down for D",
    DiscoverySilent "ListMute" "list mute for D",
    DiscoveryDelay "ListLate" "list late by X for D",
    DiscoveryNonsense "ListNonsense" "list nonsense for D",
    DiscoveryVersionJump "ListJump" "list jumps",
    Partition "Cut" "cut balancer T from server O for D",
    OneWayPartition "OneWay" "cut server T to balancer O for D",
    DiscoveryPartition "CutList" "cut list from balancer T for D",
    KillBalancer "KillBalancer" "kill balancer T for D",
    ShutDownBalancer "EndBalancer" "end balancer T for D",
    MoveDiscovery "Reload" "reload balancer T",
    StarveBalancer "Stutter" "stutter balancer T for D",
    RequestStorm "Storm" "storm by X for D",
    SlowNetwork "SlowNet" "slow network by X for D",
    EjectManually "PutOut" "put out server T at balancer O for D",
    RepeatResponses "Copies" "copy server T for D",
    ReloadSidecar "ReloadSidecar" "reload sidecar T by X",
}

macro_rules! trigger_events {
    ($($(#[$doc:meta])* $name:ident $text:literal,)*) => {
        /// An event that can trigger a fault in place of a time.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum TriggerEvent { $($(#[$doc])* $name),* }

        impl TriggerEvent {
            fn name(self) -> &'static str {
                match self { $(TriggerEvent::$name => $text),* }
            }

            fn parse(text: &str) -> Option<TriggerEvent> {
                match text { $($text => Some(TriggerEvent::$name),)* _ => None }
            }
        }
    };
}

// The order determines the numbers of the events, which the committed sums include: it must not change.
trigger_events! {
    /// An endpoint received a retry.
    RetryReceived "retry",
    /// An endpoint received an attempt.
    AttemptReceived "sent",
    /// A balancer connects to an endpoint.
    Connect "connect",
    /// An endpoint received an attempt of a non-idempotent request.
    NonIdempotentReceived "order-sent",
}

/// The condition under which a fault begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// The fault begins at this time.
    At(Micros),
    /// The fault begins at the nth occurrence of the event, counted from 1.
    On(TriggerEvent, u32),
}

/// The target number that stands for the endpoint at which the triggering event happened; written as `it`.
pub const TRIGGERING_SERVER: u32 = u32::MAX;

/// A fault of a scenario. Fields that the pattern of its kind does not contain are 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The condition under which the fault begins.
    pub trigger: Trigger,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The number of an endpoint, balancer or zone, taken modulo their count.
    pub target: u32,
    /// The number of another endpoint or balancer, taken modulo their count.
    pub second_target: u32,
    /// The magnitude, in a unit that depends on the kind.
    pub magnitude: f64,
    /// The time for which the fault lasts.
    pub duration: Micros,
}

impl Fault {
    /// Returns the content of the fault's text as the numbers of a trace event: whether it waits for an
    /// event, the event, the time or count, the kind, the target, the second target, the magnitude and the
    /// duration.
    pub fn numbers(&self) -> [u64; 8] {
        let (waits_for_event, event, time_or_count) = match self.trigger {
            Trigger::At(at) => (0, 0, at),
            Trigger::On(event, count) => (1, event as u64, u64::from(count)),
        };
        [
            waits_for_event,
            event,
            time_or_count,
            self.kind as u64,
            u64::from(self.target),
            u64::from(self.second_target),
            self.magnitude.to_bits(),
            self.duration,
        ]
    }

    /// Reads the words of a fault of this kind, or returns `None` if they do not match its pattern.
    fn parse_words(trigger: Trigger, kind: FaultKind, words: &[&str]) -> Option<Fault> {
        let pattern: Vec<&str> = kind.pattern().split(' ').collect();
        if pattern.len() != words.len() {
            return None;
        }
        let mut fault = Fault { trigger, kind, target: 0, second_target: 0, magnitude: 0.0, duration: 0 };
        for (&expected, &word) in pattern.iter().zip(words) {
            match expected {
                "T" if word == "it" && matches!(trigger, Trigger::On(..)) => fault.target = TRIGGERING_SERVER,
                "T" => fault.target = word.parse().ok()?,
                "O" => fault.second_target = word.parse().ok()?,
                "X" => fault.magnitude = word.parse().ok().filter(|value: &f64| value.is_finite())?,
                "D" => fault.duration = parse_time(word)?,
                expected if expected == word => {}
                _ => return None,
            }
        }
        Some(fault)
    }
}

impl Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self.trigger {
            Trigger::At(at) => write!(out, "at {}", format_seconds(at))?,
            Trigger::On(event, count) => write!(out, "on {} {count}", event.name())?,
        }
        for word in self.kind.pattern().split(' ') {
            out.write_char(' ')?;
            match word {
                "T" if self.target == TRIGGERING_SERVER => out.write_str("it")?,
                "T" => write!(out, "{}", self.target)?,
                "O" => write!(out, "{}", self.second_target)?,
                "X" => write!(out, "{}", self.magnitude)?,
                "D" => out.write_str(&format_seconds(self.duration))?,
                word => out.write_str(word)?,
            }
        }
        Ok(())
    }
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Fault, FaultError> {
        let error = || FaultError(text.to_string());
        let words: Vec<&str> = text.split_whitespace().collect();
        let (trigger, words) = match words.as_slice() {
            ["at", time, rest @ ..] => (Trigger::At(parse_time(time).ok_or_else(error)?), rest),
            ["on", event, count, rest @ ..] => {
                let event = TriggerEvent::parse(event).ok_or_else(error)?;
                let count = count.parse().map_err(|_| error())?;
                (Trigger::On(event, count), rest)
            }
            _ => return Err(error()),
        };
        let kinds = FaultKind::ALL.iter();
        kinds.copied().find_map(|kind| Fault::parse_words(trigger, kind, words)).ok_or_else(error)
    }
}
