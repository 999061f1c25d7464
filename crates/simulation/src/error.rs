//! Errors of the commands.

use std::io;
use std::path::PathBuf;

use doorproxy_simulation::scenario::ScenarioError;
use thiserror::Error;

/// The reason why a command failed. The program then exits with 2.
#[derive(Debug, Error)]
pub enum CliError {
    /// The mutant does not exist.
    #[error("--plant: {0:?} does not exist; `--plant list` prints all names")]
    UnknownMutant(String),
    /// The value of `--seeds` is not a range.
    #[error("--seeds: {0:?} is not a range such as 0..10000")]
    SeedRange(String),
    /// Neither or both of `--seed` and `--script` are given.
    #[error("--seed, --script: exactly one of them must be given")]
    ScenarioSource,
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file is not a scenario.
    #[error("{}: {source}", path.display())]
    Scenario {
        /// The path of the file.
        path: PathBuf,
        /// The reason why it is not one.
        source: ScenarioError,
    },
    /// A worker thread panicked.
    #[error("a run panicked")]
    WorkerPanicked,
}
