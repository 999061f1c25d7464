//! Checks, explains and generates configurations of sidecars. `doorproxy_config` alone decides what is valid.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use doorproxy::rng::{hash_text, mix};
use doorproxy_balancer::discovery::{EndpointEntry, EndpointList};
use doorproxy_config::check::{CheckedSidecarConfig, check};
use doorproxy_config::generate::generate;
use doorproxy_config::sidecar::{SidecarConfig, StaticEndpoint};
use doorproxy_routes::request::RequestView;
use serde_json::Value;

use crate::error::{CommandError, FileError, ReloadError};
use crate::exit::{Answer, CommandResult};
use crate::files::read_text;

/// Show which route matches a request, how it handles the request, and why no other route matches.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// the configuration file
    #[argh(positional)]
    file: PathBuf,
    /// the method (default GET)
    #[argh(option, default = "\"GET\".to_string()")]
    method: String,
    /// the URL, absolute or starting with the path
    #[argh(option)]
    url: String,
    /// a header field such as 'X-Key: 7'; may be given several times
    #[argh(option)]
    header: Vec<String>,
}

/// Generate a valid configuration for one application and the servers of an endpoint list.
#[derive(FromArgs)]
#[argh(subcommand, name = "configure")]
pub struct ConfigureCommand {
    /// the file with the application's requirements
    #[argh(option)]
    app: PathBuf,
    /// the endpoint list, in the format of discovery
    #[argh(option)]
    roster: PathBuf,
    /// where to write it (default: standard output)
    #[argh(option)]
    out: Option<PathBuf>,
}

struct HeaderField<'a> {
    /// The name in lower case.
    name: String,
    value: &'a str,
}

/// Loads the configuration of a sidecar and prints the findings. Returns `None` if the file has errors.
///
/// # Errors
/// Returns an error if the file can't be read.
pub fn load(path: &Path) -> Result<Option<SidecarConfig>, FileError> {
    Ok(check_and_print(path, None, false)?.config)
}

/// Loads a configuration for a running sidecar, which logs only one line.
///
/// # Errors
/// Returns an error if the file can't be read, or the first error in the file.
pub fn load_or_first_error(path: &Path) -> Result<SidecarConfig, ReloadError> {
    let checked = check(&read_text(path)?, None);
    if let Some(config) = checked.config {
        return Ok(config);
    }
    let first = checked.findings.into_iter().find(|finding| finding.is_error);
    Err(first.map_or(ReloadError::Empty, |finding| ReloadError::Invalid {
        code: finding.code.name(),
        message: finding.message,
    }))
}

/// Checks one file or compares two, and prints the result.
pub fn check_file(
    path: &Path,
    endpoint_list: Option<&Path>,
    against: Option<&Path>,
    as_json: bool,
) -> CommandResult {
    let known_names = endpoint_list.map(read_endpoint_names).transpose()?;
    let known_names = known_names.as_deref();
    let Some(config) = check_and_print(path, known_names, as_json)?.config else { return Ok(Answer::No) };
    let Some(against) = against else {
        if !as_json {
            print!("{}", config.summary());
        }
        return Ok(Answer::Yes);
    };
    let Some(newer) = check_and_print(against, known_names, as_json)?.config else { return Ok(Answer::No) };
    config.changes(&newer).iter().for_each(|line| println!("{line}"));
    Ok(Answer::Yes)
}

/// Explains how a request is routed. The answer is no if the request is rejected before routing.
pub fn explain(command: &ExplainCommand) -> CommandResult {
    let text = read_text(&command.file)?;
    let Some(config) = check(&text, None).config else {
        return Err(CommandError::InvalidSidecarConfig { path: command.file.clone() });
    };
    let fields = parse_headers(&command.header)?;
    let field = |name: &str| fields.iter().find(|field| field.name == name).map(|field| field.value);
    let key_slot = |key: &str| mix(hash_text(key));
    let explanation = RequestView::new(&command.method, &command.url, field("host"))
        .and_then(|request| config.explain(&request, field, key_slot));
    match explanation {
        Ok(explanation) => {
            print!("{explanation}");
            Ok(Answer::Yes)
        }
        Err(error) => {
            println!("rejected with 400: {error}");
            Ok(Answer::No)
        }
    }
}

/// Generates a configuration. The answer is no if the application's file has errors, which are printed to
/// stderr.
pub fn configure(command: &ConfigureCommand) -> CommandResult {
    let application = read_text(&command.app)?;
    let file = command.app.display().to_string();
    match generate(&application, &read_endpoints(&command.roster)?) {
        Ok(text) => match &command.out {
            None => print!("{text}"),
            Some(out) => std::fs::write(out, text).map_err(FileError::at(out))?,
        },
        Err(findings) => {
            findings.iter().for_each(|finding| eprint!("{}", finding.render(&file, &application)));
            return Ok(Answer::No);
        }
    }
    Ok(Answer::Yes)
}

fn read_endpoints(path: &Path) -> Result<Vec<StaticEndpoint>, CommandError> {
    let list: EndpointList = serde_json::from_str(&read_text(path)?)
        .map_err(|source| CommandError::EndpointList { path: path.to_path_buf(), source })?;
    Ok(list.endpoints.into_iter().map(static_endpoint).collect())
}

fn read_endpoint_names(path: &Path) -> Result<Vec<String>, CommandError> {
    let endpoints = read_endpoints(path)?;
    Ok(endpoints.into_iter().map(|endpoint| endpoint.name).collect())
}

fn static_endpoint(entry: EndpointEntry) -> StaticEndpoint {
    StaticEndpoint {
        name: entry.name,
        address: entry.address,
        zone: Some(entry.zone),
        cell: Some(entry.cell),
        kind: entry.kind,
        weight: entry.weight,
    }
}

/// Checks a file and prints the findings. The result has a configuration only if no finding is an error.
fn check_and_print(
    path: &Path,
    known_names: Option<&[String]>,
    as_json: bool,
) -> Result<CheckedSidecarConfig, FileError> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    let checked = check(&text, known_names);
    if as_json {
        let findings = checked.findings.iter().map(|finding| finding.to_json(&file, &text)).collect();
        println!("{}", Value::Array(findings));
    } else {
        checked.findings.iter().for_each(|finding| print!("{}", finding.render(&file, &text)));
    }
    Ok(checked)
}

fn parse_headers(lines: &[String]) -> Result<Vec<HeaderField<'_>>, CommandError> {
    lines.iter().map(|line| parse_header(line)).collect()
}

fn parse_header(line: &str) -> Result<HeaderField<'_>, CommandError> {
    let (name, value) =
        line.split_once(':').ok_or_else(|| CommandError::HeaderSyntax { text: line.to_string() })?;
    Ok(HeaderField { name: name.trim().to_ascii_lowercase(), value: value.trim() })
}
