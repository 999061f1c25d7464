//! The commands that acquire or release a permit through a balancer, and show the balancer's leases.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::{array_items, get_members_section, post_json};
use crate::error::CommandError;
use crate::exit::{Answer, CommandResult};

const ACQUIRE_PATH: &str = "/_permits/take";
const RELEASE_PATH: &str = "/_permits/back";
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

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
    /// release the permit instead
    #[argh(switch)]
    back: bool,
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

/// Acquires or releases a permit. The answer is yes if the permit is held, or was released as requested.
pub fn run(command: &PermitCommand) -> CommandResult {
    if !command.back {
        return acquire(command);
    }
    release(command)?;
    println!("{} is released", command.name);
    Ok(Answer::Yes)
}

/// Polls the balancer at least once. A permit that is not acquired in time is released, so that the balancer
/// doesn't acquire it later.
fn acquire(command: &PermitCommand) -> CommandResult {
    let started = Instant::now();
    loop {
        let called_at = Instant::now();
        let body = format!("{} {}", command.name, command.keep);
        let status = post_json(command.at, ACQUIRE_PATH, &body)?;
        if let Some(remaining_s) = remaining_seconds(&status, called_at) {
            println!("{} is held under token {}, {remaining_s:.1} s left", command.name, status["token"]);
            return Ok(Answer::Yes);
        }
        if started.elapsed().as_secs_f64() >= command.wait {
            let reason = status["why"].as_str().unwrap_or_default();
            println!("{} was not acquired within {} s: {reason}", command.name, command.wait);
            release(command)?;
            return Ok(Answer::No);
        }
        std::thread::sleep(PERMIT_POLL_INTERVAL);
    }
}

/// Returns for how many more seconds a permit is held, or `None` if it isn't. The time is counted from before
/// the call, so the result is never too long.
fn remaining_seconds(status: &Value, called_at: Instant) -> Option<f64> {
    if status["held"] != true {
        return None;
    }
    let remaining_s = status["for_s"].as_f64().unwrap_or(0.0) - called_at.elapsed().as_secs_f64();
    (remaining_s > 0.0).then_some(remaining_s)
}

fn release(command: &PermitCommand) -> Result<(), CommandError> {
    post_json(command.at, RELEASE_PATH, &command.name)?;
    Ok(())
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
