//! The commands that show, check and drop the recovery state that balancers have stored in a directory.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use doorproxy_recovery::age::{Age, ClockReading};
use doorproxy_recovery::state_directory::{LocalDisk, StateDirectory};
use doorproxy_recovery::state_file::{self, PersistedState};
use serde_json::{Value, json};
use thiserror::Error;

use crate::error::FileError;
use crate::exit::{Answer, CommandResult};
use crate::recovery_state::read_clocks;

const STATE_FILE_EXTENSION: &str = "state";

/// Show, check or drop the state that balancers have stored in a directory.
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
pub struct StateCommand {
    #[argh(subcommand)]
    action: StateAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StateAction {
    Show(ShowState),
    Check(CheckState),
    Drop(DropState),
}

/// Show the stored states: the balancer, the age and the endpoints of each.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowState {
    /// the directory
    #[argh(positional)]
    folder: PathBuf,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

/// Check whether balancers can start from their stored states. The exit code is 1 if a state is invalid.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckState {
    /// the directory
    #[argh(positional)]
    folder: PathBuf,
}

/// Remove the stored state of one balancer, so that its next start doesn't use it.
#[derive(FromArgs)]
#[argh(subcommand, name = "drop")]
struct DropState {
    /// the directory
    #[argh(positional)]
    folder: PathBuf,
    /// the name of the balancer in its configuration
    #[argh(option)]
    balancer: String,
}

/// A file of the state directory.
struct StateFile {
    name: String,
    content: Result<PersistedState, StateFileError>,
}

#[derive(Debug, Error)]
enum StateFileError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Decode(state_file::StateFileError),
}

/// Shows, checks or drops stored states. The answer of a check is no if a state is invalid.
pub fn run(command: &StateCommand) -> CommandResult {
    match &command.action {
        StateAction::Show(command) => show(command),
        StateAction::Check(command) => check(command),
        StateAction::Drop(command) => drop_state(command),
    }
}

fn show(command: &ShowState) -> CommandResult {
    let files = read_state_files(&command.folder)?;
    if command.json {
        let files = files.iter().map(file_as_json).collect();
        println!("{}", Value::Array(files));
    } else {
        files.iter().for_each(print_file);
    }
    Ok(Answer::Yes)
}

fn check(command: &CheckState) -> CommandResult {
    let files = read_state_files(&command.folder)?;
    for StateFile { name, content } in &files {
        match content {
            Ok(state) => println!("{name}: valid, of balancer {}", state.balancer),
            Err(error) => println!("{name}: {error}"),
        }
    }
    Ok(Answer::yes_if(files.iter().all(|file| file.content.is_ok())))
}

fn drop_state(command: &DropState) -> CommandResult {
    let mut directory = StateDirectory::new(LocalDisk, &command.folder);
    let file = directory.state_path(&command.balancer);
    directory.remove(&command.balancer).map_err(FileError::at(&file))?;
    println!("{} is removed", file.display());
    Ok(Answer::Yes)
}

fn read_state_files(directory: &Path) -> Result<Vec<StateFile>, FileError> {
    let entries = std::fs::read_dir(directory).map_err(FileError::at(directory))?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == STATE_FILE_EXTENSION));
    paths.sort();
    Ok(paths.iter().map(|path| read_state_file(path)).collect())
}

fn read_state_file(path: &Path) -> StateFile {
    let decode = |bytes: Vec<u8>| state_file::decode(&bytes).map_err(StateFileError::Decode);
    let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    StateFile { name, content: std::fs::read(path).map_err(StateFileError::from).and_then(decode) }
}

fn print_file(file: &StateFile) {
    let StateFile { name, content } = file;
    let state = match content {
        Ok(state) => state,
        Err(error) => return println!("{name}: {error}"),
    };
    let written = describe_age(&state.written_at);
    let confirmed = describe_age(&state.list_confirmed_at);
    println!(
        "{name}: of balancer {}, {written}; list version {} is {confirmed}",
        state.balancer, state.list_version
    );
    for endpoint in &state.endpoints {
        println!("  {} at {}, {}", endpoint.id, endpoint.address, endpoint.status);
    }
    println!("  {} lines of learned state", state.learned_state.lines().count());
}

fn file_as_json(file: &StateFile) -> Value {
    match &file.content {
        Ok(state) => state_as_json(&file.name, state),
        Err(error) => json!({"file": file.name, "fault": error.to_string()}),
    }
}

fn state_as_json(file: &str, state: &PersistedState) -> Value {
    let servers: Vec<Value> = state
        .endpoints
        .iter()
        .map(|endpoint| {
            json!({
                "id": endpoint.id,
                "addr": endpoint.address,
                "state": endpoint.status,
                "started_ms": endpoint.started_ms,
            })
        })
        .collect();
    json!({
        "file": file,
        "balancer": state.balancer,
        "written": describe_age(&state.written_at),
        "list": describe_age(&state.list_confirmed_at),
        "version": state.list_version,
        "learned_lines": state.learned_state.lines().count(),
        "servers": servers,
    })
}

/// Describes the age of a recorded time. A wall clock of 0 means that no time was recorded.
fn describe_age(then: &ClockReading) -> String {
    let age = if then.wall_ms > 0 { Age::between(then, &read_clocks()) } else { Age::Unknown };
    age.to_string()
}
