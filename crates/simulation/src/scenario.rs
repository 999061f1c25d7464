//! The text format of a run: the cluster, the load, and the faults with their times.
//!
//! The text contains everything that a [`Scenario`] does. [`crate::cluster`] implements the faults.

mod error;
mod fault;
mod units;

use std::fmt::{self, Display};
use std::ops::Range;
use std::str::FromStr;

pub use error::{FaultError, LineProblem, ScenarioError};
pub use fault::{Fault, FaultKind, TRIGGERING_SERVER, Trigger, TriggerEvent};

use crate::time::{MS, Micros};
use units::{format_seconds, parse_time};

/// The accepted range of requests per second.
const RATE_LIMITS: Range<f64> = 0.1..1e5;
/// A balancer cannot start with fewer descriptors.
const MIN_SOCKET_LIMIT: u32 = 64;

/// All inputs of a run. Two runs of the same scenario are identical.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The seed of all random numbers.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: u32,
    /// Number of endpoints.
    pub servers: u32,
    /// Number of clients.
    pub clients: u32,
    /// The numbers of the requests to send, from the first up to but not including the second.
    pub requests: (u32, u32),
    /// The load in requests per second.
    pub requests_per_second: f64,
    /// The mean work of a request on a core of normal speed.
    pub mean_work: Micros,
    /// The one-way latency of the network.
    pub latency: Micros,
    /// Data arrives only at multiples of this time.
    pub tick: Micros,
    /// The number of descriptors that a balancer may have open.
    pub socket_limit: u32,
    /// Whether sidecars run in place of balancers. A sidecar reads its endpoints from a file.
    pub uses_sidecar: bool,
    /// Whether clients go on choosing a balancer that was asked to shut down, until its process has ended.
    pub clients_stay: bool,
    /// The faults, in the order of the text.
    pub faults: Vec<Fault>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            seed: 0,
            balancers: 2,
            servers: 6,
            clients: 8,
            requests: (0, 100),
            requests_per_second: 20.0,
            mean_work: 100 * MS,
            latency: 500,
            tick: 1,
            socket_limit: 96,
            uses_sidecar: false,
            clients_stay: false,
            faults: Vec::new(),
        }
    }
}

impl Display for Scenario {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        writeln!(out, "seed {}", self.seed)?;
        writeln!(out, "balancers {}", self.balancers)?;
        writeln!(out, "servers {}", self.servers)?;
        writeln!(out, "clients {}", self.clients)?;
        writeln!(out, "ops {}..{}", self.requests.0, self.requests.1)?;
        writeln!(out, "rate {}", self.requests_per_second)?;
        writeln!(out, "work {}", format_seconds(self.mean_work))?;
        writeln!(out, "latency {}", format_seconds(self.latency))?;
        writeln!(out, "tick {}", format_seconds(self.tick))?;
        writeln!(out, "sockets {}", self.socket_limit)?;
        if self.uses_sidecar {
            writeln!(out, "front sidecar")?;
        }
        if self.clients_stay {
            writeln!(out, "clients-after-sigterm stay")?;
        }
        self.faults.iter().try_for_each(|fault| writeln!(out, "{fault}"))
    }
}

impl FromStr for Scenario {
    type Err = ScenarioError;

    /// Reads a scenario. Omitted lines have their defaults; `#` begins a comment.
    fn from_str(text: &str) -> Result<Scenario, ScenarioError> {
        let mut scenario = Scenario::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            scenario.read_line(line).map_err(|problem| ScenarioError::Line {
                number: index + 1,
                problem,
                text: line.to_string(),
            })?;
        }
        if scenario.balancers == 0 || scenario.servers == 0 || scenario.clients == 0 {
            return Err(ScenarioError::MissingNode);
        }
        Ok(scenario)
    }
}

impl Scenario {
    fn read_line(&mut self, line: &str) -> Result<(), LineProblem> {
        let (word, value) = line.split_once(' ').ok_or(LineProblem::MissingValue)?;
        match word {
            "seed" => self.seed = parse_integer(value)?,
            "balancers" => self.balancers = parse_count(value)?,
            "servers" => self.servers = parse_count(value)?,
            "clients" => self.clients = parse_count(value)?,
            "ops" => self.requests = parse_range(value)?,
            "rate" => self.requests_per_second = parse_rate(value)?,
            "work" => self.mean_work = parse_time_value(value)?,
            "latency" => self.latency = parse_time_value(value)?,
            "tick" => self.tick = parse_time_value(value)?.max(1),
            "sockets" => self.socket_limit = parse_count(value)?.max(MIN_SOCKET_LIMIT),
            "front" if value == "sidecar" => self.uses_sidecar = true,
            "clients-after-sigterm" if value == "stay" => self.clients_stay = true,
            "at" | "on" => self.faults.push(line.parse()?),
            _ => return Err(LineProblem::UnknownWord),
        }
        Ok(())
    }
}

fn parse_integer(value: &str) -> Result<u64, LineProblem> {
    value.parse().map_err(|_| LineProblem::NotInteger)
}

fn parse_count(value: &str) -> Result<u32, LineProblem> {
    u32::try_from(parse_integer(value)?).map_err(|_| LineProblem::TooLarge)
}

fn parse_time_value(value: &str) -> Result<Micros, LineProblem> {
    parse_time(value).ok_or(LineProblem::NotTime)
}

fn parse_range(value: &str) -> Result<(u32, u32), LineProblem> {
    let (start, end) = value.split_once("..").ok_or(LineProblem::NotRange)?;
    let parse = |text: &str| text.parse().map_err(|_| LineProblem::NotRange);
    Ok((parse(start)?, parse(end)?))
}

fn parse_rate(value: &str) -> Result<f64, LineProblem> {
    let rate = value.parse().ok();
    rate.filter(|rate| RATE_LIMITS.contains(rate)).ok_or(LineProblem::NotRate)
}
