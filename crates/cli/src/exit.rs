//! Maps results to the exit codes of the program.
//!
//! A command answers a question: 0 means yes, 1 means no, and 2 means that it could not be answered. A server
//! exits with 1 on every error. The same cause can therefore lead to two codes, so the code depends on the
//! type of the result and not on the cause.

use std::fmt::Display;
use std::process::ExitCode;

use crate::error::{CommandError, ServeError};

const ANSWER_NO: u8 = 1;
const SERVING_FAILED: u8 = 1;
const COULD_NOT_RUN: u8 = 2;
/// The exit code after a panic on any thread except the log thread.
pub const PANICKED: i32 = 70;

/// The answer of a command to its question, already printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Yes,
    No,
}

impl Answer {
    /// Returns `Yes` if the condition holds.
    pub fn yes_if(condition: bool) -> Answer {
        if condition { Answer::Yes } else { Answer::No }
    }
}

/// The result of a command.
pub type CommandResult = Result<Answer, CommandError>;

/// Returns the exit code of a command, and prints its error to stderr.
pub fn code_for_command(result: CommandResult) -> ExitCode {
    match result {
        Ok(Answer::Yes) => ExitCode::SUCCESS,
        Ok(Answer::No) => ExitCode::from(ANSWER_NO),
        Err(error) => print_error(&error, COULD_NOT_RUN),
    }
}

/// Returns the exit code of a server that ended or could not start, and prints its error to stderr.
pub fn code_for_server(result: Result<(), ServeError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(&error, SERVING_FAILED),
    }
}

/// Returns the exit code for arguments that are invalid or ask for help, and prints the message or the help.
pub fn code_for_arguments(exit: &argh::EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}\nRun `doorproxy --help` for usage.", exit.output.trim_end());
    ExitCode::from(COULD_NOT_RUN)
}

/// Prints an error, whose text contains those of its sources.
fn print_error(error: &dyn Display, code: u8) -> ExitCode {
    eprintln!("doorproxy: {error}");
    ExitCode::from(code)
}
