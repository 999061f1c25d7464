//! The commands that detach and attach endpoints manually, at one balancer or in the whole fleet, and show the
//! current overrides. A change is reported only after the balancer has confirmed it.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::{array_items, display_text, get_members_section, post_json, post_text};
use crate::error::{AdminCallError, CommandError};
use crate::exit::{Answer, CommandResult};

/// Detach an endpoint manually at a running balancer, or in the whole fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "detach")]
pub struct DetachCommand {
    /// the endpoint, by its id in the endpoint list
    #[argh(positional)]
    name: String,
    /// the address of the admin API of any balancer
    #[argh(option)]
    at: SocketAddr,
    /// detach it in the whole fleet: every balancer applies the override on receipt, until the endpoint is
    /// attached
    #[argh(switch)]
    fleet: bool,
}

/// Attach an endpoint again that was detached manually.
#[derive(FromArgs)]
#[argh(subcommand, name = "attach")]
pub struct AttachCommand {
    /// the endpoint, by its id in the endpoint list
    #[argh(positional)]
    name: String,
    /// the address of the admin API of any balancer
    #[argh(option)]
    at: SocketAddr,
    /// attach it in the whole fleet, if it was detached there
    #[argh(switch)]
    fleet: bool,
}

/// Show the fleet overrides that a running balancer knows, and the endpoints that are reported faulty.
#[derive(FromArgs)]
#[argh(subcommand, name = "verdicts")]
pub struct VerdictsCommand {
    /// the address of the balancer's admin API
    #[argh(option)]
    at: SocketAddr,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Clone, Copy)]
enum Override {
    Detach,
    Attach,
}

impl Override {
    /// Returns the name of the override in the paths of the admin API.
    fn action(self) -> &'static str {
        match self {
            Override::Detach => "detach",
            Override::Attach => "attach",
        }
    }

    /// Returns the resulting state of the endpoint, as printed.
    fn outcome(self) -> &'static str {
        match self {
            Override::Detach => "detached",
            Override::Attach => "attached",
        }
    }
}

/// Detaches an endpoint.
pub fn detach(command: &DetachCommand) -> CommandResult {
    apply(Override::Detach, command.at, &command.name, command.fleet)
}

/// Attaches an endpoint again.
pub fn attach(command: &AttachCommand) -> CommandResult {
    apply(Override::Attach, command.at, &command.name, command.fleet)
}

fn apply(change: Override, address: SocketAddr, name: &str, in_fleet: bool) -> CommandResult {
    if in_fleet {
        apply_in_fleet(change, address, name)?;
    } else {
        apply_at_balancer(change, address, name)?;
    }
    Ok(Answer::Yes)
}

fn apply_at_balancer(change: Override, address: SocketAddr, name: &str) -> Result<(), AdminCallError> {
    post_text(address, &format!("/_upstreams/{}", change.action()), name)?;
    println!("{name} is {} at {address}", change.outcome());
    Ok(())
}

fn apply_in_fleet(change: Override, address: SocketAddr, name: &str) -> Result<(), AdminCallError> {
    let answer = post_json(address, &format!("/_fleet/{}", change.action()), name)?;
    println!(
        "{name} is {} at {address}, version {}; the others receive this within a few protocol periods: \
         see `doorproxy verdicts --at {address}`",
        change.outcome(),
        answer["version"]
    );
    Ok(())
}

/// Shows the fleet's overrides and the fault reports. The answer is no if a peer was not recently seen with
/// the same overrides.
pub fn show(command: &VerdictsCommand) -> CommandResult {
    let overrides =
        get_members_section(command.at, "verdicts")?.ok_or(CommandError::NoPeers { address: command.at })?;
    if command.json {
        println!("{overrides}");
    } else {
        print_overrides(&overrides);
        print_fault_reports(&overrides["claims"]);
    }
    Ok(Answer::yes_if(overrides["agreeing"] == overrides["others"]))
}

fn print_overrides(overrides: &Value) {
    println!("{} of {} peers have the same overrides", overrides["agreeing"], overrides["others"]);
    for entry in array_items(overrides, "words") {
        let change = if entry["out"] == true { Override::Detach } else { Override::Attach };
        println!(
            "  {} is {}, version {}, set at {}, received {} s ago",
            display_text(&entry["name"]),
            change.outcome(),
            entry["version"],
            display_text(&entry["by"]),
            entry["heard_s"]
        );
    }
}

/// Prints the fault reports, or nothing if the fleet file doesn't configure them.
fn print_fault_reports(reports: &Value) {
    if !reports.is_null() {
        println!(
            "fault reports: {} endpoints put on probation, {} confirmed faulty, {} not confirmed",
            reports["tried"], reports["right"], reports["wrong"]
        );
    }
    for report in array_items(reports, "heard") {
        println!(
            "  {} is reported faulty by {}, evidence {:.1} s old, trust {}",
            report["name"].as_str().unwrap_or_default(),
            report["by"].as_str().unwrap_or_default(),
            report["age_s"].as_f64().unwrap_or(0.0),
            report["trust"]
        );
    }
}
