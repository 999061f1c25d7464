//! The commands that acquire or release a permit through a balancer, and show the balancer's leases.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::{array_items, get_members_section, post_json};
use crate::error::CommandError;
use crate::exit::{Answer, CommandResult};

const ACQUIRE_PATH: &str = "/_permits/take";
const GIVE_BACK_PATH: &str = "/_permits/back";
const STOP_WAITING_PATH: &str = "/_permits/cancel";
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The precision of printed times. They are rounded down, since the permit ends at the printed time.
const PRINTED_TENTHS_PER_SECOND: f64 = 10.0;

/// Acquire a permit through a running balancer. The fleet file limits how many hold it at a time.
#[derive(FromArgs)]
#[argh(subcommand, name = "permit")]
pub struct PermitCommand {
    /// the name of the permit in the fleet file
    #[argh(positional)]
    name: String,
    /// the address of the balancer's admin API
    #[argh(option)]
    at: SocketAddr,
    /// how many seconds to wait for the permit (default 60)
    #[argh(option, default = "60.0")]
    wait: f64,
    /// for how many seconds the balancer renews the permit while its process runs (default 0: no longer than
    /// this call)
    #[argh(option, default = "0.0")]
    keep: f64,
    /// a name of the calling script without white space; needed to give a permit back at once if several
    /// scripts use the same balancer, or if a script has called more than once
    #[argh(option)]
    caller: Option<String>,
    /// give the permit back instead
    #[argh(switch)]
    back: bool,
}

impl PermitCommand {
    fn body(&self) -> String {
        let PermitCommand { name, keep, .. } = self;
        match &self.caller {
            Some(caller) => format!("{name} {keep} {caller}"),
            None => format!("{name} {keep}"),
        }
    }
}

/// Show the leases that a running balancer knows of.
#[derive(FromArgs)]
#[argh(subcommand, name = "leases")]
pub struct LeasesCommand {
    /// the address of the balancer's admin API
    #[argh(option)]
    at: SocketAddr,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

/// Acquires or gives back a permit. The answer is yes if the permit is held, or was given back as requested.
pub fn run(command: &PermitCommand) -> CommandResult {
    if command.back { give_back(command) } else { acquire(command) }
}

fn give_back(command: &PermitCommand) -> CommandResult {
    let called_at = Instant::now();
    let status = post_json(command.at, GIVE_BACK_PATH, &command.body())?;
    match remaining_seconds(&status, called_at) {
        None => println!("{} is released", command.name),
        Some(remaining_s) => println!(
            "{} is given back; other callers hold it here for at least {remaining_s:.1} s more",
            command.name
        ),
    }
    Ok(Answer::Yes)
}

/// Polls the balancer at least once. If the permit is not acquired in time, the balancer is notified that
/// this caller no longer waits, so that it doesn't acquire the permit later.
fn acquire(command: &PermitCommand) -> CommandResult {
    let started = Instant::now();
    loop {
        let called_at = Instant::now();
        let status = post_json(command.at, ACQUIRE_PATH, &command.body())?;
        if let Some(remaining_s) = remaining_seconds(&status, called_at) {
            println!("{} is held under token {}, {remaining_s:.1} s left", command.name, status["token"]);
            return Ok(Answer::Yes);
        }
        if started.elapsed().as_secs_f64() >= command.wait {
            let reason = status["why"].as_str().unwrap_or_default();
            println!("{} was not acquired within {} s: {reason}", command.name, command.wait);
            stop_waiting(command);
            return Ok(Answer::No);
        }
        std::thread::sleep(PERMIT_POLL_INTERVAL);
    }
}

/// Returns for how many more seconds a permit is held, or `None` if it isn't. The time is counted from before
/// the call and rounded down, so the result is never too long.
fn remaining_seconds(status: &Value, called_at: Instant) -> Option<f64> {
    if status["held"] != true {
        return None;
    }
    let remaining_s = status["for_s"].as_f64().unwrap_or(0.0) - called_at.elapsed().as_secs_f64();
    let rounded_s = (remaining_s * PRINTED_TENTHS_PER_SECOND).floor() / PRINTED_TENTHS_PER_SECOND;
    (rounded_s > 0.0).then_some(rounded_s)
}

/// Ends this caller's wait. If the call fails, the balancer stops requesting the permit a few seconds later,
/// or once `--keep` is over.
fn stop_waiting(command: &PermitCommand) {
    let _ = post_json(command.at, STOP_WAITING_PATH, &command.body());
}

/// Shows the leases that a running balancer knows of.
pub fn show_leases(command: &LeasesCommand) -> CommandResult {
    let leases =
        get_members_section(command.at, "leases")?.ok_or(CommandError::NoLeases { address: command.at })?;
    if command.json {
        println!("{leases}");
    } else {
        print_leases(&leases);
    }
    Ok(Answer::Yes)
}

fn print_leases(leases: &Value) {
    for permit in array_items(leases, "permits") {
        let name = permit["name"].as_str().unwrap_or_default();
        for (number, slot) in array_items(permit, "places").enumerate() {
            println!("{name}, slot {number}: {}", describe_slot(slot));
        }
    }
    match leases["keeper"]["votes"].as_bool() {
        Some(true) => println!("this registry replica stores {} leases", leases["keeper"]["registers"]),
        Some(false) => println!("this registry replica started recently and does not vote yet"),
        None => {}
    }
}

fn describe_slot(slot: &Value) -> String {
    if let Some(remaining_s) = slot["held_s"].as_f64() {
        return format!("held by this balancer under token {}, {remaining_s:.1} s left", slot["token"]);
    }
    match slot["seen_token"].as_u64() {
        Some(token) => format!(
            "last seen under token {token}, {:.1} s left unless renewed",
            slot["seen_s"].as_f64().unwrap_or(0.0)
        ),
        None => "never requested by this balancer".to_string(),
    }
}
