//! Measures requests per second through a balancer on one core, and CPU time per request, for one program or
//! several in turns:
//!
//!     taskset -c 1-7 target/release/examples/ops_meter OLD NEW
//!
//! Each argument is the path of a `doorproxy` program. It runs on core 0 in front of eight test endpoints; 96
//! clients on the other cores send one request after the other over loopback. The program runs nine rounds
//! and prints the medians.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const ENDPOINT_COUNT: usize = 8;
const CLIENT_COUNT: usize = 96;
const ROUND_COUNT: usize = 9;
const WARM_UP_TIME: Duration = Duration::from_millis(500);
const MEASURING_TIME: Duration = Duration::from_secs(2);
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MICROS_PER_CPU_TICK: f64 = 1e4;

/// The result of one round.
#[derive(Clone, Copy)]
struct Measurement {
    requests_per_second: f64,
    cpu_us_per_request: f64,
}

/// Clients that send until they are stopped, and count the responses.
struct Clients {
    response_count: Arc<AtomicU64>,
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    fn start(address: SocketAddr) -> Clients {
        let response_count = Arc::new(AtomicU64::new(0));
        let stop_requested = Arc::new(AtomicBool::new(false));
        let start_client = |client: usize| {
            let response_count = response_count.clone();
            let stop_requested = stop_requested.clone();
            thread::spawn(move || send_requests(client, address, &response_count, &stop_requested))
        };
        let threads = (0..CLIENT_COUNT).map(start_client).collect();
        Clients { response_count, stop_requested, threads }
    }

    fn response_count(&self) -> u64 {
        self.response_count.load(Ordering::Relaxed)
    }

    fn stop(self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

fn send_requests(
    client: usize,
    address: SocketAddr,
    response_count: &AtomicU64,
    stop_requested: &AtomicBool,
) {
    let Ok(stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    for number in 0.. {
        let request = format!(
            "GET /hello HTTP/1.1\r\nHost: x\r\nReq-Id: {client}-{number}\r\nReq-Kind: look\r\nReq-Owner: acme\r\n\r\n"
        );
        let is_answered =
            writer.write_all(request.as_bytes()).is_ok() && read_and_discard_message(&mut reader, &mut line);
        if !is_answered || stop_requested.load(Ordering::Relaxed) {
            return;
        }
        response_count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Accepts connections on a free port, each on a thread of its own.
fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Reads and discards a head and a body of its `Content-Length`. Returns false if the connection ends first.
fn read_and_discard_message(reader: &mut BufReader<TcpStream>, line: &mut String) -> bool {
    let mut length = 0;
    loop {
        line.clear();
        if reader.read_line(line).unwrap_or(0) == 0 {
            return false;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
        if line == "\r\n" {
            return reader.take(length).read_to_end(&mut Vec::new()).is_ok();
        }
    }
}

/// Responds to each request with the same body.
fn respond_with(body: String) -> impl Fn(TcpStream) + Clone + Send + 'static {
    move |stream| {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        while read_and_discard_message(&mut reader, &mut line) {
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn start(program: &str, config: &str, address: SocketAddr) -> Child {
    let mut child = Command::new("taskset")
        .args(["-c", "0", program, "serve", "--config", config])
        .stderr(Stdio::null())
        .spawn()
        .expect("taskset and the program can be started");
    while TcpStream::connect(address).is_err() {
        assert!(child.try_wait().expect("the child process can be polled").is_none(), "{program} ended");
        thread::sleep(START_POLL_INTERVAL);
    }
    child
}

/// Returns the CPU time that the process has used so far, in ticks of 10 ms.
fn cpu_ticks(child: &Child) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    let fields: Vec<u64> =
        stat.rsplit(')').next().unwrap_or("").split(' ').filter_map(|f| f.parse().ok()).collect();
    // The process state, a letter, is dropped. Of the numbers after it, the 11th and 12th are user and system
    // time.
    fields.get(10).unwrap_or(&0) + fields.get(11).unwrap_or(&0)
}

fn measure(program: &str, config: &str, address: SocketAddr) -> Measurement {
    let mut child = start(program, config, address);
    let clients = Clients::start(address);
    thread::sleep(WARM_UP_TIME);
    let responses_before = clients.response_count();
    let ticks_before = cpu_ticks(&child);
    let started = Instant::now();
    thread::sleep(MEASURING_TIME);
    let responses = (clients.response_count() - responses_before) as f64;
    let ticks = (cpu_ticks(&child) - ticks_before) as f64;
    let requests_per_second = responses / started.elapsed().as_secs_f64();
    clients.stop();
    let _ = child.kill();
    let _ = child.wait();
    Measurement { requests_per_second, cpu_us_per_request: ticks * MICROS_PER_CPU_TICK / responses.max(1.0) }
}

/// Starts the endpoints and discovery, and writes the balancer's configuration.
fn write_config(listen_address: SocketAddr) -> PathBuf {
    let endpoints: Vec<String> = (0..ENDPOINT_COUNT)
        .map(|number| {
            let address = listen(respond_with("hello".repeat(20)));
            format!(
                r#"{{"id":"s{number}","addr":"{address}","zone":"east","kind":"small","state":"active"}}"#
            )
        })
        .collect();
    let list = format!(r#"{{ "version": 1, "full": true, "servers": [{}] }}"#, endpoints.join(","));
    let discovery = listen(respond_with(list.clone()));
    let text = include_str!("balancer.json")
        .replace("127.0.0.1:5000", &listen_address.to_string())
        .replace("127.0.0.1:8500", &discovery.to_string())
        .replace(r#"{ "version": 0, "full": true, "servers": [] }"#, &list)
        .replace("100.0 }", "1e9 }");
    let path = std::env::temp_dir().join(format!("ops-meter-{}.json", std::process::id()));
    std::fs::write(&path, text).expect("the directory for temporary files can be written");
    path
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    listener.local_addr().expect("a bound listener has an address")
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn print(label: &str, program: &str, measurement: Measurement) {
    let Measurement { requests_per_second, cpu_us_per_request } = measurement;
    println!(
        "{label}: {requests_per_second:8.0} requests/s, {cpu_us_per_request:6.1} us of CPU a request: {program}"
    );
}

fn main() {
    let programs: Vec<String> = std::env::args().skip(1).collect();
    let listen_address = free_address();
    let config = write_config(listen_address);
    let config_path = config.to_string_lossy().into_owned();
    let mut measurements = vec![Vec::new(); programs.len()];
    for round in 0..ROUND_COUNT {
        for (program, measurements) in programs.iter().zip(&mut measurements) {
            let measurement = measure(program, &config_path, listen_address);
            print(&format!("round {round}"), program, measurement);
            measurements.push(measurement);
        }
    }
    for (program, measurements) in programs.iter().zip(measurements) {
        let rates = measurements.iter().map(|measured| measured.requests_per_second).collect();
        let cpu_times = measurements.iter().map(|measured| measured.cpu_us_per_request).collect();
        let medians =
            Measurement { requests_per_second: median(rates), cpu_us_per_request: median(cpu_times) };
        print("median", program, medians);
    }
    let _ = std::fs::remove_file(config);
}
