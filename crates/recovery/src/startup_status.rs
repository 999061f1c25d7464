//! The startup status of a process: the stage that it has reached, when it reached it, and why.
//!
//! The status only observes, and decides nothing about requests. Only discovery or responses of the endpoints
//! confirm an endpoint list; a list from a file is never confirmed by itself.

use std::collections::VecDeque;

use doorproxy::ids::Timestamp;

use crate::age::Age;
pub use crate::stage::StartupStage;
use crate::validity::FactSource;

/// Counts the usable endpoints, and their answers since this process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Counts the endpoints that may be used.
    pub ready_endpoints: usize,
    /// Counts those that have answered.
    pub answered_endpoints: usize,
    /// Counts the answers of all of them.
    pub answer_count: usize,
}

impl Evidence {
    fn most_have_answered(&self) -> bool {
        self.ready_endpoints > 0 && self.answered_endpoints * 2 >= self.ready_endpoints
    }
}

/// Sets the answers needed for full operation. Fewer say too little about the service times of a group.
const MIN_ANSWERS_FOR_FULL: usize = 16;
/// Limits the stage changes that are kept. A list that appears and disappears can cause any number.
const MAX_STAGE_CHANGES: usize = 64;

/// Describes one change of stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange {
    /// Holds the time of the change.
    pub at: Timestamp,
    /// Holds the stage before the change.
    pub from: StartupStage,
    /// Holds the stage after the change.
    pub to: StartupStage,
    /// Explains the change in the log and the recovery status.
    pub cause: String,
}

/// Holds the stage of one process, and the observations from which it follows.
#[derive(Debug)]
pub struct StartupStatus {
    started_at: Timestamp,
    stage: StartupStage,
    source: Option<FactSource>,
    age: Option<Age>,
    endpoint_count: usize,
    /// Says whether discovery has answered since the start.
    has_discovery_answer: bool,
    discovery_failures: u32,
    evidence: Evidence,
    changes: VecDeque<StageChange>,
}

impl StartupStatus {
    /// Creates the status of a process that starts at `now`.
    pub fn new(now: Timestamp) -> StartupStatus {
        StartupStatus {
            started_at: now,
            stage: StartupStage::Nothing,
            source: None,
            age: None,
            endpoint_count: 0,
            has_discovery_answer: false,
            discovery_failures: 0,
            evidence: Evidence::default(),
            changes: VecDeque::new(),
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> StartupStage {
        self.stage
    }

    /// Returns the time at which the process started.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Returns the source of the endpoint list in use.
    pub fn source(&self) -> Option<FactSource> {
        self.source
    }

    /// Returns the age of the endpoint list when the process started, or `None` once discovery has answered.
    pub fn age(&self) -> Option<Age> {
        self.age
    }

    /// Returns the number of listed endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoint_count
    }

    /// Returns the number of calls to discovery that have failed since the last success.
    pub fn discovery_failures(&self) -> u32 {
        self.discovery_failures
    }

    /// Returns the evidence that was last reported to [`StartupStatus::on_evidence`].
    pub fn evidence(&self) -> Evidence {
        self.evidence
    }

    /// Returns the changes of stage, the oldest first. Only the first and the last ones of many are kept.
    pub fn changes(&self) -> impl Iterator<Item = &StageChange> {
        self.changes.iter()
    }

    fn enter_stage(&mut self, now: Timestamp, to: StartupStage, cause: String) -> Option<&StageChange> {
        if to == self.stage {
            return None;
        }
        if self.changes.len() >= MAX_STAGE_CHANGES {
            // The first changes show how the process recovered, and the last ones its current state.
            self.changes.remove(MAX_STAGE_CHANGES / 2);
        }
        self.changes.push_back(StageChange { at: now, from: self.stage, to, cause });
        self.stage = to;
        self.changes.back()
    }

    /// Records the endpoint list from the configuration or the state directory with which the process starts.
    /// Returns the change of stage, if any.
    pub fn on_initial_list(
        &mut self,
        now: Timestamp,
        endpoint_count: usize,
        source: FactSource,
        age: Age,
    ) -> Option<&StageChange> {
        self.source = Some(source);
        self.age = Some(age);
        self.endpoint_count = endpoint_count;
        if endpoint_count == 0 {
            return None;
        }
        let origin = match source {
            FactSource::StateDirectory => "the state directory",
            _ => "the configuration",
        };
        let cause = format!("{origin} lists {endpoint_count} endpoints; the list is {age}");
        self.enter_stage(now, StartupStage::Doubtful, cause)
    }

    /// Records that discovery has answered with `endpoint_count` endpoints. Returns the change of stage, if
    /// any.
    pub fn on_discovery_snapshot(&mut self, now: Timestamp, endpoint_count: usize) -> Option<&StageChange> {
        self.has_discovery_answer = true;
        self.discovery_failures = 0;
        self.endpoint_count = endpoint_count;
        self.source = Some(FactSource::Discovery);
        self.age = None;
        let stage = self.stage_from_evidence();
        self.enter_stage(now, stage, format!("discovery listed {endpoint_count} endpoints"))
    }

    /// Records a failed call to discovery.
    pub fn on_discovery_error(&mut self) {
        self.discovery_failures = self.discovery_failures.saturating_add(1);
    }

    /// Records the latest evidence from the endpoints' answers. Returns the change of stage, if any.
    pub fn on_evidence(&mut self, now: Timestamp, evidence: Evidence) -> Option<&StageChange> {
        self.evidence = evidence;
        let stage = self.stage_from_evidence();
        let Evidence { ready_endpoints, answered_endpoints, answer_count } = evidence;
        let suffix = if self.has_discovery_answer { "" } else { "; discovery has not answered yet" };
        let cause = format!(
            "{answered_endpoints} of {ready_endpoints} endpoints have answered, \
             {answer_count} answers in total{suffix}"
        );
        self.enter_stage(now, stage, cause)
    }

    fn stage_from_evidence(&self) -> StartupStage {
        if self.endpoint_count == 0 {
            return StartupStage::Nothing;
        }
        let most_have_answered = self.evidence.most_have_answered();
        // If most listed endpoints have answered, the list is good enough without discovery.
        let is_confirmed = self.has_discovery_answer || most_have_answered;
        if !is_confirmed {
            StartupStage::Doubtful
        } else if self.evidence.answered_endpoints == 0 {
            StartupStage::Listed
        } else if most_have_answered && self.evidence.answer_count >= MIN_ANSWERS_FOR_FULL {
            StartupStage::Full
        } else {
            StartupStage::Learning
        }
    }
}

#[cfg(test)]
mod tests;
