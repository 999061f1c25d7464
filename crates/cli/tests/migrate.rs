//! `doorproxy migrate`: converts the configuration of a balancer pool into that of a balancer in each client
//! process.

mod common;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;

use common::*;
use expect_test::{expect, expect_file};
use serde_json::{Value, json};

/// Runs `doorproxy migrate` on `old` in a new folder. Returns its output with the exit code and the files
/// that are in the folder afterwards, and the folder.
fn migrate(old: &str, arguments: &str) -> (String, PathBuf) {
    let name = format!("migrate-{}-{:?}", std::process::id(), thread::current().id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir(&folder).unwrap();
    std::fs::write(folder.join("old.json"), old).unwrap();
    if arguments.contains("taken.json") {
        std::fs::write(folder.join("taken.json"), "as it was").unwrap();
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorproxy"));
    let command = command.args(["migrate", "old.json"]).args(arguments.split(' ')).current_dir(&folder);
    let output = command.output().unwrap();
    let mut files: Vec<String> = std::fs::read_dir(&folder)
        .unwrap()
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    files.sort();
    let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    assert_eq!(std::fs::read_to_string(folder.join("old.json")).unwrap(), old, "the old file has changed");
    (format!("{text}exit {:?}, there: {}\n", output.status.code(), files.join(" ")), folder)
}

const COMPLETE_ARGUMENTS: &str = "--balancers 90 --ordinal 3 --out new.json --listen 127.0.0.1:0 --seed 3a \
                          --zone east --report waiting,active";

fn without_tenants(mut config: Value) -> Value {
    let settings = config["settings"].as_object_mut().unwrap();
    settings.remove("projects");
    settings.remove("overage_benefit");
    config
}

#[test]
fn migrated_config_starts_a_balancer_that_probes_load() {
    let trace = Trace::default();
    let old = without_tenants(config(
        &[endpoint_entry("a", test_endpoint("A", &trace), "active")],
        closing_service(),
        256,
    ));
    let (output, folder) = migrate(&old.to_string(), COMPLETE_ARGUMENTS);
    assert!(output.ends_with("exit Some(0), there: new.json old.json\n"), "{output}");
    let balancer = start_from(&std::fs::read_to_string(folder.join("new.json")).unwrap());
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: GET /-/load HTTP/1.1 id none body ""
        A: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

#[test]
fn migration_reports_each_field_and_applies_arguments() {
    let mut old = without_tenants(config(&[], UNREACHABLE_ADDRESS.parse().unwrap(), 256));
    old["limits"]["cores"] = json!(1.0);
    let (output, folder) = migrate(&old.to_string(), &format!("{COMPLETE_ARGUMENTS} --no-second-copies"));
    let new = std::fs::read_to_string(folder.join("new.json")).unwrap();
    expect_file!["kept/migrated.txt"].assert_eq(&format!("{output}{new}"));
}

#[test]
fn migration_writes_nothing_when_refused_or_incomplete() {
    let valid = without_tenants(config(&[], UNREACHABLE_ADDRESS.parse().unwrap(), 256)).to_string();
    let with_tenants = config(&[], UNREACHABLE_ADDRESS.parse().unwrap(), 256).to_string();
    let calls = [
        ("a dry run", &valid, format!("{COMPLETE_ARGUMENTS} --dry-run")),
        ("a target that is there", &valid, COMPLETE_ARGUMENTS.replace("new.json", "taken.json")),
        ("missing arguments", &valid, "--balancers 90 --ordinal 3 --out new.json".to_string()),
        ("unknown zone", &valid, COMPLETE_ARGUMENTS.replace("east", "west")),
        ("a report without the load", &valid, COMPLETE_ARGUMENTS.replace("waiting,active", "cpu")),
        ("ordinal out of range", &valid, COMPLETE_ARGUMENTS.replace("--ordinal 3", "--ordinal 90")),
        ("no count", &valid, COMPLETE_ARGUMENTS.replace("--balancers 90 ", "")),
        ("broken JSON", &"{".to_string(), COMPLETE_ARGUMENTS.to_string()),
        ("tenants", &with_tenants, COMPLETE_ARGUMENTS.to_string()),
    ];
    let mut trace = String::new();
    for (case, old, arguments) in calls {
        let (output, folder) = migrate(old, &arguments);
        let lines =
            output.lines().filter(|line| !line.starts_with("carried over") && !line.starts_with("changed"));
        let lines: Vec<&str> = lines.collect();
        writeln!(trace, "{case}: {}", lines.join(" | ")).unwrap();
        if let Ok(taken) = std::fs::read_to_string(folder.join("taken.json")) {
            writeln!(trace, "{case}: it holds {taken:?}").unwrap();
        }
    }
    expect![[r#"
        a dry run: exit Some(0), there: old.json
        a target that is there: doorproxy: taken.json: the file exists and is not replaced | exit Some(2), there: old.json taken.json
        a target that is there: it holds "as it was"
        missing arguments: missing: --listen | missing: --seed | missing: --zone, one of settings.dcs | missing: --report | exit Some(1), there: old.json
        unknown zone: missing: --zone, one of settings.dcs | exit Some(1), there: old.json
        a report without the load: invalid: --report has no "active", so the load of endpoints would be unknown | exit Some(1), there: old.json
        ordinal out of range: doorproxy: --ordinal: 90 is not below 90, the number of balancers | exit Some(2), there: old.json
        no count: Required options not provided: |     --balancers | Run `doorproxy --help` for usage. | exit Some(2), there: old.json
        broken JSON: invalid: old.json: EOF while parsing an object at line 1 column 1 | exit Some(1), there: old.json
        tenants: not carried over: settings.overage_benefit: omitted together with the tenants' shares | not carried over: settings.projects: each balancer enforces an even part of a tenant's share, but processes have unequal load | exit Some(1), there: new.json old.json
    "#]].assert_eq(&trace);
}
