//! The requirements of the operators' fleet test on the program: one process, linked dynamically against the
//! C library, without the symbols that the test forbids. A new dependency, such as a TLS library or another
//! runtime, could break any of them.

mod common;

use std::fs;
use std::path::Path;

use common::*;
use expect_test::expect;
use object::read::elf::{Dyn, ElfFile64, FileHeader, ProgramHeader, Sym};
use object::{Endianness, elf};

/// Functions that start programs or processes, and functions that move bytes in ways that the fleet test's
/// clock does not see. System calls by number are not detected here.
const FORBIDDEN_SYMBOLS: [&str; 16] = [
    "clone",
    "copy_file_range",
    "execv",
    "execve",
    "execvp",
    "fork",
    "io_uring_setup",
    "popen",
    "posix_spawn",
    "posix_spawnp",
    "sendfile",
    "sendfile64",
    "splice",
    "system",
    "tee",
    "vfork",
];

/// Returns the requirements that a program violates, one line each.
fn violations(program: &[u8]) -> Result<String, object::Error> {
    let file: ElfFile64<Endianness> = ElfFile64::parse(program)?;
    let (endian, data) = (file.endian(), file.data());
    let headers = file.elf_header().program_headers(endian, data)?;
    let mut report = String::new();
    if !headers.iter().any(|header| header.p_type(endian) == elf::PT_INTERP) {
        report += "statically linked: it has no program interpreter\n";
    }
    let sections = file.elf_header().sections(endian, data)?;
    let symbols = sections.symbols(endian, data, elf::SHT_DYNSYM)?;
    let mut needed = Vec::new();
    for header in headers {
        for entry in header.dynamic(endian, data)?.unwrap_or_default() {
            if entry.d_tag(endian) == elf::DT_NEEDED {
                let name = symbols.strings().get(entry.d_val(endian) as u32);
                needed.push(String::from_utf8_lossy(name.unwrap_or_default()).into_owned());
            }
        }
    }
    if !needed.iter().any(|library| library.starts_with("libc.so.")) {
        report += &format!("libc.so is not among the needed libraries: {needed:?}\n");
    }
    for symbol in symbols.iter().filter(|symbol| symbol.is_undefined(endian)) {
        let name = String::from_utf8_lossy(symbol.name(endian, symbols.strings())?);
        if FORBIDDEN_SYMBOLS.contains(&name.as_ref()) {
            report += &format!("forbidden symbol: {name}\n");
        }
    }
    Ok(report)
}

fn patched(program: &[u8], offset: usize, bytes: &[u8]) -> Vec<u8> {
    let mut changed = program.to_vec();
    changed[offset..offset + bytes.len()].copy_from_slice(bytes);
    changed
}

#[test]
fn binary_is_dynamic_and_uses_no_forbidden_symbol() {
    let program = fs::read(env!("CARGO_BIN_EXE_doorproxy")).unwrap();
    let file: ElfFile64<Endianness> = ElfFile64::parse(&*program).unwrap();
    let headers = file.elf_header().program_headers(file.endian(), file.data()).unwrap();
    let header_index = |kind| headers.iter().position(|header| header.p_type(file.endian()) == kind).unwrap();
    let header_offset = |index: usize| file.elf_header().e_phoff(file.endian()) as usize + index * 56;
    // Setting a header's type to 0 (PT_NULL) removes it.
    let without_interpreter = patched(&program, header_offset(header_index(elf::PT_INTERP)), &[0; 4]);
    let static_program = patched(&without_interpreter, header_offset(header_index(elf::PT_DYNAMIC)), &[0; 4]);
    let symbol_offset = program.windows(6).position(|bytes| bytes == b"\0bind\0").unwrap();
    let forking = patched(&program, symbol_offset + 1, b"fork");
    let reports = [&program, &static_program, &forking, &b"#!/bin/sh\n".to_vec()];
    let reports = reports.map(|program| violations(program).unwrap_or_else(|error| format!("{error}\n")));
    expect![[r#"
        --
        statically linked: it has no program interpreter
        libc.so is not among the needed libraries: []
        --
        forbidden symbol: fork
        --
        Invalid ELF header size or alignment
    "#]]
    .assert_eq(&reports.join("--\n"));
}

/// Detects child processes and threads that never block, which the operators' fleet test does
/// not accept.
#[test]
fn serving_balancer_is_one_process_with_blocking_threads() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    Client::new(&balancer).get("/look", "1").record_answer(&trace);
    let tasks = Path::new("/proc").join(balancer.process.id().to_string()).join("task");
    let read = |task: &Path, name| fs::read_to_string(task.join(name)).unwrap_or_default();
    // The loop does not end if a thread never blocks.
    loop {
        let tasks: Vec<_> = fs::read_dir(&tasks).unwrap().map(|task| task.unwrap().path()).collect();
        let children: String = tasks.iter().map(|task| read(task, "children")).collect();
        assert_eq!(children, "", "the balancer started other processes");
        let is_blocked = |task: &Path| {
            // The name may contain any character and ends at the last bracket; the state follows it.
            let stat = read(task, "stat");
            stat.rsplit_once(") ").is_none_or(|(_, state)| state.starts_with('S'))
        };
        if tasks.iter().all(|task| is_blocked(task)) {
            break;
        }
    }
}

/// Returns the names of the balancer's threads and of the files that it has open.
fn threads_and_files(balancer: &Balancer) -> (Vec<String>, Vec<String>) {
    let process = Path::new("/proc").join(balancer.process.id().to_string());
    let entries = |name: &str| fs::read_dir(process.join(name)).unwrap().map(|entry| entry.unwrap().path());
    let name = |task: std::path::PathBuf| {
        fs::read_to_string(task.join("comm")).unwrap_or_default().trim().to_string()
    };
    // A thread has its process's name until it runs for the first time.
    let has_process_name = |name: &&String| *name == "doorproxy";
    let mut threads = Vec::new();
    wait_until("the names of all threads", || {
        threads = entries("task").map(name).collect::<Vec<String>>();
        threads.iter().filter(has_process_name).count() <= 1
    });
    // The first three descriptors are inherited from the test.
    let own = entries("fd").filter(|link| !["0", "1", "2"].iter().any(|number| link.ends_with(number)));
    let links = own.filter_map(|link| fs::read_link(link).ok());
    let mut files: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
    files.retain(|file| file.starts_with('/') && !file.starts_with("/dev/"));
    threads.sort();
    files.sort();
    (threads, files)
}

/// Returns how many of the balancer's sockets are UDP sockets.
fn datagram_sockets(balancer: &Balancer) -> usize {
    let process = Path::new("/proc").join(balancer.process.id().to_string());
    let table = fs::read_to_string(process.join("net/udp")).unwrap();
    let inodes: Vec<&str> = table.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9)).collect();
    let links =
        fs::read_dir(process.join("fd")).unwrap().filter_map(|link| fs::read_link(link.unwrap().path()).ok());
    let names = links.map(|link| link.to_string_lossy().into_owned());
    names.filter(|name| inodes.iter().any(|inode| *name == format!("socket:[{inode}]"))).count()
}

/// Detects a state folder or a peer socket that the configuration does not ask for.
#[test]
fn without_fleet_file_no_extra_thread_file_or_socket() {
    let trace = Trace::default();
    let serve_request = |balancer: &Balancer| Client::new(balancer).get("/look", "1").record_answer(&trace);
    let known = [endpoint_entry("a", test_endpoint("A", &trace), "active")];
    let count_sockets = |balancer: &Balancer| {
        let process = Path::new("/proc").join(balancer.process.id().to_string());
        let links = fs::read_dir(process.join("fd"))
            .unwrap()
            .filter_map(|link| fs::read_link(link.unwrap().path()).ok());
        links.filter(|link| link.to_string_lossy().starts_with("socket:")).count()
    };
    // On a busy machine the first discovery call may not have started yet, so this waits until the count is
    // stable.
    let settled_socket_count = |balancer: &Balancer| {
        let (mut current, mut unchanged) = (count_sockets(balancer), 0);
        while unchanged < 10 {
            std::thread::sleep(std::time::Duration::from_millis(50));
            let latest = count_sockets(balancer);
            unchanged = if latest == current { unchanged + 1 } else { 0 };
            current = latest;
        }
        current
    };
    let plain = start(&known);
    serve_request(&plain);
    let stored_files =
        |balancer: &Balancer| fs::read_dir(balancer.config.with_extension("kept")).unwrap().count();
    let (threads, files) = threads_and_files(&plain);
    assert_eq!(
        (&threads, &files, stored_files(&plain)),
        (&vec!["doorproxy".to_string(), "log".to_string()], &vec![], 0)
    );
    let plain_sockets = settled_socket_count(&plain);
    assert_eq!(datagram_sockets(&plain), 0);
    drop(plain);
    // With a state folder, the same checks find one more thread and the state file, but no further socket.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let file = folder.join("fleet.toml");
    fs::write(&file, format!("[state]\nfolder = {:?}\nevery = \"100ms\"\n", folder.display().to_string()))
        .unwrap();
    let with_state = start_with_fleet(&config(&known, closing_service(), 256).to_string(), Some(&file));
    serve_request(&with_state);
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    while !folder.join("n0.state").exists() {
        assert!(std::time::Instant::now() < deadline, "no state file was written");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert_eq!(threads_and_files(&with_state).0, ["doorproxy", "log", "state"]);
    assert_eq!(settled_socket_count(&with_state), plain_sockets);
    drop(with_state);
    // With peers, there is one UDP socket, one thread for it, and one thread that follows operator overrides.
    let key = folder.join("key");
    fs::write(&key, "0a".repeat(32)).unwrap();
    let key = key.display().to_string();
    let text = format!(
        "[peers]\ncluster = \"q\"\nlisten = \"127.0.0.1:0\"\nkey = {key:?}\nseeds = [\"127.0.0.1:9\"]\n"
    );
    fs::write(&file, text).unwrap();
    let with_peers = start_with_fleet(&config(&known, closing_service(), 256).to_string(), Some(&file));
    serve_request(&with_peers);
    assert_eq!(threads_and_files(&with_peers).0, ["doorproxy", "log", "operators", "peers"]);
    assert_eq!((datagram_sockets(&with_peers), settled_socket_count(&with_peers)), (1, plain_sockets + 1));
    fs::remove_dir_all(&folder).unwrap();
}
