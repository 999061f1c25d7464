//! The command line of the simulation.
//!
//! The exit code is 0 if no rule is broken, 1 if one is, and 2 if the command fails.

mod arguments;
mod commands;
mod error;
mod seed_runs;

use std::process::ExitCode;

use arguments::{Arguments, Command};
use commands::Verdict;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Run(arguments) => commands::run(&arguments),
        Command::Replay(arguments) => commands::replay(&arguments),
        Command::Shrink(arguments) => commands::shrink(&arguments),
    };
    match result {
        Ok(Verdict::NoRuleBroken) => ExitCode::SUCCESS,
        Ok(Verdict::RuleBroken) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("doorproxy-faults: {error}");
            ExitCode::from(2)
        }
    }
}
