//! The command that shows a balancer's allocations of the fleet-wide quotas, or computes how far a fleet can
//! exceed the quotas.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use doorproxy_leases::messages::LeaseRules;
use doorproxy_quotas::rules::{QuotaRules, RateLimit};
use serde_json::Value;

use crate::admin_client::{array_items, get_members_section};
use crate::error::CommandError;
use crate::exit::{Answer, CommandResult};
use crate::fleet_file::read_fleet_file;
use crate::quotas;

/// How many times a process polls a lease held by another during the lease's duration.
const POLLS_PER_LEASE: f64 = 4.0;

/// Show a running balancer's allocations of the fleet's quotas, or compute how far they can be exceeded.
#[derive(FromArgs)]
#[argh(subcommand, name = "limits")]
pub struct LimitsCommand {
    /// the address of the balancer's admin API
    #[argh(option)]
    at: Option<SocketAddr>,
    /// print as JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    action: Option<LimitsAction>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LimitsAction {
    Bound(BoundCommand),
}

/// Compute from the fleet file how far a fleet can exceed its quotas.
#[derive(FromArgs)]
#[argh(subcommand, name = "bound")]
struct BoundCommand {
    /// the fleet file
    #[argh(positional)]
    file: PathBuf,
    /// the number of balancers in the fleet
    #[argh(option)]
    balancers: u32,
}

/// Shows the allocations of a running balancer, or computes bounds from a fleet file.
pub fn run(command: &LimitsCommand) -> CommandResult {
    match (&command.action, command.at) {
        (Some(LimitsAction::Bound(command)), None) => show_bound(command),
        (None, Some(address)) => show(address, command.json),
        _ => Err(CommandError::LimitsUsage),
    }
}

fn show_bound(command: &BoundCommand) -> CommandResult {
    let fleet = read_fleet_file(&command.file)?;
    let (Some(config), Some(peers)) = (&fleet.quotas, &fleet.peers) else {
        return Err(CommandError::FileWithoutLimits { path: command.file.clone() });
    };
    let rules = quotas::quota_rules(config, peers, command.balancers);
    let lease_rules = quotas::allocator_lease_rules(config, peers, Default::default());
    print_times(&rules, &lease_rules, command.balancers);
    let mut limits: Vec<&RateLimit> = rules.limits.values().collect();
    limits.sort_by(|a, b| a.name.cmp(&b.name));
    for limit in limits {
        print_bounds(&rules, limit, command.balancers);
    }
    Ok(Answer::Yes)
}

fn print_times(rules: &QuotaRules, lease_rules: &LeaseRules, balancers: u32) {
    println!(
        "{balancers} balancers; an allocation lasts {} s; a balancer is disconnected if its allocator \
         has not answered for {} s",
        rules.allocation_lifetime().as_secs_f64(),
        rules.contact_timeout.as_secs_f64()
    );
    let lease_s = lease_rules.max_duration.as_secs_f64();
    let lease_with_drift_s = lease_rules.duration_with_drift(lease_rules.max_duration).as_secs_f64();
    let contact_timeout_s = rules.contact_timeout.as_secs_f64();
    println!(
        "a failed allocator is replaced within {:.1} s; after a majority of replicas restarts, \
         nothing is allocated for {:.1} s",
        lease_with_drift_s + lease_s / POLLS_PER_LEASE + contact_timeout_s,
        lease_with_drift_s + contact_timeout_s
    );
}

fn print_bounds(rules: &QuotaRules, limit: &RateLimit, balancers: u32) {
    let fallback =
        limit.fallback_rate.map_or("strict".to_string(), |rate| format!("fallback rate {rate:.2}/s"));
    println!("{}: {} requests/s, {fallback}", limit.name, limit.rate);
    let half = balancers.div_ceil(2);
    for (label, disconnected) in [("none", 0), ("1", 1), ("half", half), ("all", balancers)] {
        let bound = rules.overshoot_bound(limit, disconnected);
        println!(
            "  {label:>4} disconnected: at most {} t + {:.1} + {:.2} t requests in t seconds; {:.0} in 1 s, \
             {:.0} in 10 s",
            limit.rate,
            bound.burst,
            bound.excess_rate,
            bound.max_admitted(limit.rate, 1.0),
            bound.max_admitted(limit.rate, 10.0)
        );
    }
}

/// Shows a balancer's quotas. The answer is no if the allocator of a limit doesn't answer the balancer.
fn show(address: SocketAddr, as_json: bool) -> CommandResult {
    let quotas = get_members_section(address, "limits")?.ok_or(CommandError::NoLimits { address })?;
    if as_json {
        println!("{quotas}");
    } else {
        array_items(&quotas, "limits").for_each(print_limit);
        array_items(&quotas, "dealing").for_each(print_shard);
        if quotas["keeper_votes"] == false {
            println!("this registry replica started recently and does not vote on allocators yet");
        }
    }
    Ok(Answer::yes_if(array_items(&quotas, "limits").all(is_connected)))
}

fn is_connected(limit: &Value) -> bool {
    limit["in_touch"] == true
}

fn print_limit(limit: &Value) {
    let contact = if is_connected(limit) { "connected to its allocator" } else { "disconnected" };
    let age = limit["age_s"]
        .as_f64()
        .map_or("never allocated".to_string(), |age_s| format!("allocated {age_s:.1} s ago"));
    println!(
        "{}: allocation {} of {} requests/s, demand {}/s, balance {}, {age}, {contact}",
        limit["name"].as_str().unwrap_or_default(),
        limit["allotted"],
        limit["rate"],
        limit["demand"],
        limit["held"]
    );
    println!(
        "  admitted {}, {} of them at the fallback rate; rejected {}",
        limit["let_in"], limit["by_floor"], limit["refused"]
    );
}

fn print_shard(shard: &Value) {
    println!("allocates shard {} under token {}", shard["shard"], shard["token"]);
    for limit in array_items(shard, "limits") {
        println!(
            "  {}: balance {}, requested by {} balancers",
            limit["name"].as_str().unwrap_or_default(),
            limit["saved"],
            limit["asked_by"]
        );
    }
}
