//! The command that shows how far a balancer has recovered after its start.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::{array_items, display_text, get_json};
use crate::exit::{Answer, CommandResult};

const RECOVERY_PATH: &str = "/_recovery";
/// The last startup stage, at which recovery is complete.
const LAST_STAGE: &str = "full";

/// Show how far a running balancer has recovered after its start.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
pub struct RecoveryCommand {
    /// the address of the balancer's admin API
    #[argh(option)]
    at: SocketAddr,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

/// Shows the recovery status. The answer is no if the process has not reached the last stage.
pub fn run(command: &RecoveryCommand) -> CommandResult {
    let recovery = get_json(command.at, RECOVERY_PATH)?;
    if command.json {
        println!("{recovery}");
    } else {
        print_recovery(&recovery);
    }
    Ok(Answer::yes_if(recovery["stage"] == LAST_STAGE))
}

fn print_recovery(recovery: &Value) {
    let (list, evidence) = (&recovery["list"], &recovery["evidence"]);
    println!("stage {}, {} s after the start", display_text(&recovery["stage"]), recovery["running_s"]);
    println!(
        "  endpoint list: {} endpoints, from {}, {} failed calls since the last answer",
        list["servers"],
        display_text(&list["from"]),
        list["failed_calls"]
    );
    println!(
        "  evidence: {} of {} ready endpoints have answered, {} answers in all",
        evidence["answered"], evidence["ready"], evidence["answers"]
    );
    for change in array_items(recovery, "changes") {
        println!(
            "  {} s: {} to {}: {}",
            change["after_s"],
            display_text(&change["from"]),
            display_text(&change["to"]),
            display_text(&change["cause"])
        );
    }
}
