//! The uses that a fact permits, by its source and age. Reading a restored fact requires naming the use, and
//! a use that the table forbids gets no value.

use doorproxy::ids::Ticks;

use crate::age::Age;

/// Says where a fact comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactSource {
    /// This process observed the fact itself, by answers or refused connections.
    OwnObservation,
    /// Discovery reported the fact since this process started.
    Discovery,
    /// The fact is from the configuration with which the process started.
    Configuration,
    /// The fact is from the state directory.
    StateDirectory,
}

/// Says what a fact is to be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactUse {
    /// Sends requests to an endpoint.
    SendRequests,
    /// Sends no requests to an endpoint that is draining, manually ejected or just started.
    AvoidEndpoint,
    /// Charges sent work against the limit of an endpoint in slow start.
    ChargeWork,
    /// Estimates service times for attempt timeouts and admission.
    EstimateServiceTime,
    /// Sends an endpoint in slow start more than one request at a time.
    RaiseSlowStartLimit,
}

impl FactUse {
    /// Lists all uses.
    pub const ALL: [FactUse; 5] = [
        FactUse::SendRequests,
        FactUse::AvoidEndpoint,
        FactUse::ChargeWork,
        FactUse::EstimateServiceTime,
        FactUse::RaiseSlowStartLimit,
    ];
}

/// Limits the age of restored service times: older ones mislead more than they help.
const MAX_SERVICE_TIME_AGE: Ticks = Ticks(600_000);
/// Limits the age of a restored endpoint list. Discovery is never down for longer while its fleet runs, and
/// after that time most addresses belong to other processes.
const MAX_LIST_AGE: Ticks = Ticks(36_000_000);

/// Returns whether a fact of this source and age may be used for this purpose.
///
/// | use | own observation, discovery | configuration | state directory |
/// | --- | --- | --- | --- |
/// | send requests | yes | yes | up to an hour old, or of unknown age |
/// | avoid endpoint | yes | yes | yes |
/// | charge work | yes | yes | yes |
/// | estimate service time | yes | no | up to a minute old by a monotonic clock |
/// | raise slow-start limit | yes | no | no |
pub fn is_allowed(source: FactSource, age: Age, fact_use: FactUse) -> bool {
    match source {
        FactSource::OwnObservation | FactSource::Discovery => true,
        FactSource::Configuration => match fact_use {
            FactUse::SendRequests | FactUse::AvoidEndpoint | FactUse::ChargeWork => true,
            FactUse::EstimateServiceTime | FactUse::RaiseSlowStartLimit => false,
        },
        FactSource::StateDirectory => match fact_use {
            FactUse::SendRequests => is_list_usable(age),
            FactUse::AvoidEndpoint | FactUse::ChargeWork => true,
            FactUse::EstimateServiceTime => age.upper_bound().is_some_and(|age| age <= MAX_SERVICE_TIME_AGE),
            FactUse::RaiseSlowStartLimit => false,
        },
    }
}

/// A list of unknown age is better than no endpoints. It stays doubtful until it is confirmed.
fn is_list_usable(age: Age) -> bool {
    match age {
        Age::Monotonic(age) | Age::WallClock(age) => age <= MAX_LIST_AGE,
        Age::Unknown => true,
    }
}

/// Holds a value that is accessible only for the uses that [`is_allowed`] permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact<T> {
    value: T,
    source: FactSource,
    age: Age,
}

impl<T> Fact<T> {
    /// Creates a fact of this source and age.
    pub fn new(value: T, source: FactSource, age: Age) -> Fact<T> {
        Fact { value, source, age }
    }

    /// Returns the value, or `None` if it may not be used for this purpose.
    pub fn for_use(&self, fact_use: FactUse) -> Option<&T> {
        is_allowed(self.source, self.age, fact_use).then_some(&self.value)
    }

    /// Returns the source of the fact.
    pub fn source(&self) -> FactSource {
        self.source
    }

    /// Returns the age of the fact when it was restored.
    pub fn age(&self) -> Age {
        self.age
    }
}

#[cfg(test)]
mod tests;
