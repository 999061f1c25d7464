//! The command line arguments.

use std::path::PathBuf;

use argh::FromArgs;

/// Run the balancer under seeded faults on a virtual clock and a virtual network.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Run(RunArguments),
    Replay(ReplayArguments),
    Shrink(ShrinkArguments),
}

/// Run the scripts of a range of seeds and print the broken rules and the coverage.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArguments {
    /// the seeds, such as 0..10000
    #[argh(option)]
    pub seeds: String,
    /// number of runs at once (default: the number of cores)
    #[argh(option)]
    pub jobs: Option<usize>,
    /// insert this deliberate bug between balancers and network; `list` prints all names
    #[argh(option, long = "plant")]
    pub mutant: Option<String>,
    /// run sidecars in place of balancers
    #[argh(switch)]
    pub sidecar: bool,
    /// run sidecars that are asked to shut down while endpoints hang and clients go on sending
    #[argh(switch)]
    pub shutdown: bool,
    /// write the checksum and the number of each run's events to this file, one line per run
    #[argh(option)]
    pub sums: Option<PathBuf>,
    /// write the checksum and the number of each run's trace lines to this file, one line per run
    #[argh(option)]
    pub trace_sums: Option<PathBuf>,
}

/// Run one script.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArguments {
    /// generate the script from this seed
    #[argh(option)]
    pub seed: Option<u64>,
    /// generate it with sidecars in place of balancers
    #[argh(switch)]
    pub sidecar: bool,
    /// generate it with sidecars that are asked to shut down
    #[argh(switch)]
    pub shutdown: bool,
    /// read the script from this file
    #[argh(option, long = "script")]
    pub scenario: Option<PathBuf>,
    /// insert this deliberate bug
    #[argh(option, long = "plant")]
    pub mutant: Option<String>,
    /// print the trace of the run
    #[argh(switch)]
    pub trace: bool,
}

/// Reduce a script that breaks a rule to a smaller one that breaks the same rule.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
pub struct ShrinkArguments {
    /// generate the script from this seed
    #[argh(option)]
    pub seed: Option<u64>,
    /// read the script from this file
    #[argh(option, long = "script")]
    pub scenario: Option<PathBuf>,
    /// write the reduced script to this file
    #[argh(option)]
    pub out: PathBuf,
    /// insert this deliberate bug
    #[argh(option, long = "plant")]
    pub mutant: Option<String>,
}
