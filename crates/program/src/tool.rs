//! The tool for sidecar configurations: it reads the files, and says what the pure parts found. It must never say good of
//! a file that they did not pass.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use doorproxy::rng::{mix, mix_text};
use doorproxy_balancer::form::ListAnswer;
use doorproxy_config::check::{Checked, check};
use doorproxy_config::plan::{Plan, Server};
use doorproxy_config::write::write;
use doorproxy_routes::request::Seen;

/// Say which route takes a request, what it makes of it, and why no other route does.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the configuration file
    #[argh(positional)]
    file: PathBuf,
    /// the method (default GET)
    #[argh(option, default = "\"GET\".to_string()")]
    method: String,
    /// the URL, whole or from its path on
    #[argh(option)]
    url: String,
    /// a header field such as 'X-Key: 7'; may be given several times
    #[argh(option)]
    header: Vec<String>,
}

/// Write a configuration for one application and the servers of a roster, such that check accepts it.
#[derive(FromArgs)]
#[argh(subcommand, name = "configure")]
pub struct Configure {
    /// what the application asks for
    #[argh(option)]
    app: PathBuf,
    /// the servers, in the form of the list
    #[argh(option)]
    roster: PathBuf,
    /// where to write it (default: standard output)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// What the call asked about is good, is bad, or could not be asked.
pub type Outcome = Result<bool, String>;

pub fn exit(outcome: Outcome) -> ExitCode {
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("doorproxy: {fault}");
            ExitCode::from(2)
        }
    }
}

pub fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn roster(path: &Path) -> Result<Vec<Server>, String> {
    let list: ListAnswer =
        serde_json::from_str(&read(path)?).map_err(|error| format!("{}: {error}", path.display()))?;
    let server = |line: doorproxy_balancer::form::Line| Server {
        name: line.id,
        address: line.addr,
        zone: Some(line.zone),
        cell: Some(line.cell),
        kind: line.kind,
        size: line.weight,
    };
    Ok(list.servers.into_iter().map(server).collect())
}

/// Prints the findings; the plan is there only if the file is good.
fn checked(path: &Path, names: Option<&[String]>, as_json: bool) -> Result<Checked, String> {
    let text = read(path)?;
    let file = path.display().to_string();
    let checked = check(&text, names);
    if as_json {
        let all: Vec<_> = checked.findings.iter().map(|finding| finding.json(&file, &text)).collect();
        println!("{}", serde_json::Value::Array(all));
    } else {
        checked.findings.iter().for_each(|finding| print!("{}", finding.told(&file, &text)));
    }
    Ok(checked)
}

/// What a sidecar is to serve by; none where the file is not good, which has been said then.
pub fn plan(path: &Path) -> Result<Option<Plan>, String> {
    Ok(checked(path, None, false)?.plan)
}

/// The same in one line, for a log.
pub fn plan_or_why(path: &Path) -> Result<Plan, String> {
    let checked = check(&read(path)?, None);
    let first = checked.findings.into_iter().find(|finding| finding.is_error);
    let why = first.map_or(String::new(), |finding| format!("{}: {}", finding.code.name(), finding.sentence));
    checked.plan.ok_or(why)
}

pub fn check_file(path: &Path, roster_path: Option<&Path>, against: Option<&Path>, as_json: bool) -> Outcome {
    let names = roster_path.map(roster).transpose()?;
    let names: Option<Vec<String>> =
        names.map(|servers| servers.into_iter().map(|server| server.name).collect());
    let old = checked(path, names.as_deref(), as_json)?;
    let Some(plan) = old.plan else { return Ok(false) };
    let Some(against) = against else {
        if !as_json {
            print!("{}", plan.summary());
        }
        return Ok(true);
    };
    let Some(new) = checked(against, names.as_deref(), as_json)?.plan else { return Ok(false) };
    plan.changes(&new).iter().for_each(|line| println!("{line}"));
    Ok(true)
}

pub fn explain(call: &Explain) -> Outcome {
    let text = read(&call.file)?;
    let checked = check(&text, None);
    let Some(plan) = checked.plan else {
        return Err(format!("{} is not good; `doorproxy check` says why", call.file.display()));
    };
    let mut fields: Vec<(String, &str)> = Vec::new();
    for field in &call.header {
        let (name, value) = field
            .split_once(':')
            .ok_or_else(|| format!("a header such as 'K: V' expected, not {field:?}"))?;
        fields.push((name.trim().to_ascii_lowercase(), value.trim()));
    }
    let field = |name: &str| fields.iter().find(|(known, _)| known == name).map(|(_, value)| *value);
    let slot = |key: &str| mix(mix_text(key));
    let told =
        Seen::new(&call.method, &call.url, field("host")).and_then(|seen| plan.explain(&seen, field, slot));
    match told {
        Ok(told) => {
            print!("{told}");
            Ok(true)
        }
        Err(why) => {
            println!("turned away with 400: {why}");
            Ok(false)
        }
    }
}

pub fn configure(call: &Configure) -> Outcome {
    let app = read(&call.app)?;
    let file = call.app.display().to_string();
    match write(&app, &roster(&call.roster)?) {
        Ok(text) => match &call.out {
            None => print!("{text}"),
            Some(out) => std::fs::write(out, text).map_err(|error| format!("{}: {error}", out.display()))?,
        },
        Err(findings) => {
            findings.iter().for_each(|finding| eprint!("{}", finding.told(&file, &app)));
            return Ok(false);
        }
    }
    Ok(true)
}
