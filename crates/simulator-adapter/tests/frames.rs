//! Sends hand-written frames to the adapter's binary and checks its replies.

use std::fmt::Write as _;
use std::io::Write;
use std::process::{Command, Stdio};

use expect_test::expect;

const SETTINGS: &str = "categories.count=1\ncategories.0.benefit=1\ncategories.0.semantics=pure\n\
    categories.0.target_latency=0.5\ncategories.0.ttl=1.5\ndiscovery=pushed\nn_instances=2\nordinal=0\n\
    limits.max_pushes=3\n\
    limits.second_copies=true\nlimits.cancelling=false\nlimits.retry_after=false\n\
    limits.connect_timeout=0.25\nobligations.ask_within=10\n\
    obligations.cold=10\nobligations.cold_from=0.2\nobligations.fall=2\n\
    obligations.fall_multiple=2.5\nunheard.of=7\n";

fn frame(number: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let length = 20 + body.len() as u32;
    let head = [number.to_be_bytes(), length.to_be_bytes(), (records.len() as u32).to_be_bytes()];
    [head.concat(), 8.5f64.to_be_bytes().to_vec(), body].concat()
}

fn start_record(settings: &str) -> Vec<u8> {
    let length = settings.len() as u32;
    [&[17, 0, 0, 0, 3][..], &7u64.to_be_bytes(), &length.to_be_bytes(), settings.as_bytes()].concat()
}

/// Encodes an endpoint list of one ready endpoint with the ID 9.
fn endpoint_list_record() -> Vec<u8> {
    let weight = 1.0f32.to_be_bytes();
    [&[19, 0, 0, 0, 2, 0, 0, 0, 1, 0, 0, 0, 0, 0, 9][..], &weight, &[3, 0, 0], &[0; 8], &[0, 1]].concat()
}

fn snapshot_record(list: u8) -> Vec<u8> {
    [&[20, 0, 0, 0, 3, 4][..], &[0; 8], &[0, 0, 0, list]].concat()
}

fn request_record(instance: u8) -> Vec<u8> {
    let timeout = 1.5f64.to_be_bytes();
    [&[25, 0, 0, 0, instance, 0, 0, 0, 5][..], &[0; 8], &[0, 0, 0, 0], &timeout, &[0], &[0; 8]].concat()
}

/// Returns the replies in hexadecimal, one frame per line, then the adapter's exit code and its standard
/// error.
fn run_adapter(input: &[u8]) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_doorproxy-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // An adapter that rejects the input may exit before all of it is written.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    let finished = child.wait_with_output().expect("the adapter exits");
    let mut output = String::new();
    let mut rest = &finished.stdout[..];
    while let Some(length) = rest.get(4..8) {
        let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
        for byte in &rest[..length] {
            write!(output, "{byte:02x}").expect("writing to a string succeeds");
        }
        output.push('\n');
        rest = &rest[length..];
    }
    let code = finished.status.code().expect("an exit code");
    write!(output, "exit {code} {}", String::from_utf8_lossy(&finished.stderr))
        .expect("writing to a string succeeds");
    output
}

#[test]
fn frames_are_answered_and_the_end_of_input_exits_with_0() {
    let start = frame(1, &[start_record(SETTINGS), endpoint_list_record(), snapshot_record(2)]);
    expect![[r#"
        0000000100000008
        0000000200000032100000000300000005000000090000000000000000140000000340218000000000000000000000000005
        0000000300000008
        exit 0 "#]]
    .assert_eq(&run_adapter(&[start, frame(2, &[request_record(3)]), frame(3, &[])].concat()));
}

#[test]
fn malformed_frame_exits_with_1_and_one_error_line() {
    let valid =
        frame(1, &[start_record(SETTINGS), endpoint_list_record(), snapshot_record(2), request_record(3)]);
    let mut with_missing_record = valid.clone();
    with_missing_record[11] = 5;
    let output: Vec<String> = [
        valid[..valid.len() - 3].to_vec(),
        valid[..5].to_vec(),
        with_missing_record,
        frame(2, &[vec![99, 0, 0, 0, 3]]),
        frame(3, &[request_record(4)]),
        frame(4, &[start_record(SETTINGS), snapshot_record(2)]),
        frame(5, &[start_record(&SETTINGS.replace("limits.max_pushes=3\n", ""))]),
        frame(6, &[start_record(&SETTINGS.replace("n_instances=2", "n_instances=many"))]),
    ]
    .iter()
    .map(|input| run_adapter(input))
    .collect();
    expect![[r#"
        exit 1 doorproxy-drill: batch 1, byte 543: expected the whole frame (length in bytes: 546)
        exit 1 doorproxy-drill: batch 0, byte 4: expected the length of the frame (length in bytes: 4)
        exit 1 doorproxy-drill: batch 1, byte 546: expected the code of a record (length in bytes: 1)
        exit 1 doorproxy-drill: batch 2, byte 21: expected a known code, not 99, in the field before it
        exit 1 doorproxy-drill: batch 3, byte 25: expected a started instance, not 4, in the field before it
        exit 1 doorproxy-drill: batch 4, byte 476: expected a list that was set, not 2, in the field before it
        exit 1 doorproxy-drill: batch 5, byte 438: limits.max_pushes is missing
        exit 1 doorproxy-drill: batch 6, byte 461: n_instances: "many" is not valid
    "#]]
    .assert_eq(&output.concat());
}

/// Encodes a finished load probe that reported one value.
fn load_probe_record(endpoint: u8, outcome: u8, load: f32) -> Vec<u8> {
    let head = [26, 0, 0, 0, 3, 0, 0, 0, endpoint, 0, outcome];
    [&head[..], &[0; 8], &[1], &load.to_be_bytes()].concat()
}

#[test]
fn invalid_failed_and_unknown_probe_results_are_ignored() {
    let settings = format!(
        "{SETTINGS}report.source=probe\nreport.fields=active\nlimits.probes=true\nprices.probe=0.001\n"
    );
    let mut output = String::new();
    let results =
        [(9, 1, f32::NAN), (9, 1, f32::INFINITY), (9, 1, -4.0), (9, 4, 0.0), (77, 1, 0.0), (9, 1, 2.0)];
    for (endpoint, outcome, load) in results {
        let start = frame(
            1,
            &[start_record(&settings), endpoint_list_record(), snapshot_record(2), request_record(3)],
        );
        let end = run_adapter(&[start, frame(2, &[load_probe_record(endpoint, outcome, load)])].concat());
        let is_sent = end.lines().nth(1).is_some_and(|reply| reply.contains("100000000300000005"));
        writeln!(
            output,
            "{endpoint} ends {outcome} with {load}: sent {is_sent}, {}",
            end.lines().last().unwrap()
        )
        .unwrap();
    }
    expect![[r#"
        9 ends 1 with NaN: sent false, exit 0 
        9 ends 1 with inf: sent false, exit 0 
        9 ends 1 with -4: sent false, exit 0 
        9 ends 4 with 0: sent false, exit 0 
        77 ends 1 with 0: sent false, exit 0 
        9 ends 1 with 2: sent true, exit 0 
    "#]]
    .assert_eq(&output);
}
