//! The stages of startup.

use std::fmt;

/// Describes how far a process has started, from knowing nothing to full operation. Later stages compare as
/// greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartupStage {
    /// The process knows no endpoint.
    Nothing,
    /// The process has an endpoint list that neither discovery nor responses of the endpoints have confirmed.
    Doubtful,
    /// The list is confirmed, but no endpoint has answered yet.
    Listed,
    /// Endpoints have answered, but the service times of most are not known yet.
    Learning,
    /// Most endpoints have answered, and there are enough answers to know the service times.
    Full,
}

impl StartupStage {
    /// Returns the stage's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StartupStage::Nothing => "nothing",
            StartupStage::Doubtful => "doubtful",
            StartupStage::Listed => "listed",
            StartupStage::Learning => "learning",
            StartupStage::Full => "full",
        }
    }
}

impl fmt::Display for StartupStage {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
