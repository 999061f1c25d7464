//! The command that shows which peers a balancer knows, and how many balancers share the fleet's budgets.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;

use crate::admin_client::{array_items, display_text, get_members};
use crate::exit::{Answer, CommandResult};

/// Show which peers a running balancer knows, and how many balancers share the fleet's budgets.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
pub struct MembersCommand {
    /// the address of the balancer's admin API
    #[argh(option)]
    at: SocketAddr,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

/// Shows the members. The answer is no if the number of balancers is the conservative fallback, because no
/// majority of replicas has counted this balancer.
pub fn run(command: &MembersCommand) -> CommandResult {
    let members = get_members(command.at)?;
    let is_counted = members["counted"] == true;
    if command.json {
        println!("{members}");
    } else {
        print_fleet_size(&members, is_counted);
        array_items(&members, "keepers").for_each(print_replica);
        array_items(&members, "members").for_each(print_member);
    }
    Ok(Answer::yes_if(is_counted))
}

fn print_fleet_size(members: &Value, is_counted: bool) {
    if is_counted {
        println!(
            "{} balancers share the fleet's budgets: counted by a majority of replicas, valid for {} s",
            members["among"], members["for_s"]
        );
    } else {
        println!(
            "{} balancers share the fleet's budgets: assumed, without a majority of replicas",
            members["among"]
        );
    }
    println!(
        "  {} members alive; slow-start ratio {}; local health multiplier {} (0 to 8)",
        members["least"], members["cold_part"], members["health"]
    );
}

fn print_replica(replica: &Value) {
    let age =
        |value: &Value| value.as_f64().map_or("never".to_string(), |seconds| format!("{seconds} s ago"));
    println!(
        "  replica {}: last acknowledgement {}, last snapshot {}",
        display_text(&replica["name"]),
        age(&replica["heard_s"]),
        age(&replica["roll_s"])
    );
}

fn print_member(member: &Value) {
    let zone = display_text(&member["zone"]);
    let zone = if zone.is_empty() { String::new() } else { format!(", zone {zone}") };
    println!(
        "  {} at {}{zone}: {} for {} s",
        display_text(&member["name"]),
        display_text(&member["at"]),
        display_text(&member["belief"]),
        member["for_s"]
    );
}
