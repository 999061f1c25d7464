//! The program as the operators' fleet test starts it: one process, linked dynamically against the C library, that
//! reaches for nothing refused there. Dependencies change, and a TLS library or another runtime may bring any of it.

mod common;

use std::fs;
use std::path::Path;

use common::*;
use expect_test::expect;
use object::read::elf::{Dyn, ElfFile64, FileHeader, ProgramHeader, Sym};
use object::{Endianness, elf};

/// What starts other programs or processes, and the ways to move bytes that the bench's clock doesn't see. What a
/// program asks of the system by bare number is not seen here.
const REFUSED: [&str; 16] = [
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

/// What is wrong with a program for these days, one line each.
fn faults(program: &[u8]) -> Result<String, object::Error> {
    let file: ElfFile64<Endianness> = ElfFile64::parse(program)?;
    let (endian, data) = (file.endian(), file.data());
    let headers = file.elf_header().program_headers(endian, data)?;
    let mut told = String::new();
    if !headers.iter().any(|header| header.p_type(endian) == elf::PT_INTERP) {
        told += "nothing loads libraries into it: it is linked statically\n";
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
        told += &format!("the C library is not among what it is linked against: {needed:?}\n");
    }
    for symbol in symbols.iter().filter(|symbol| symbol.is_undefined(endian)) {
        let name = String::from_utf8_lossy(symbol.name(endian, symbols.strings())?);
        if REFUSED.contains(&name.as_ref()) {
            told += &format!("it reaches for {name}\n");
        }
    }
    Ok(told)
}

fn with(program: &[u8], place: usize, bytes: &[u8]) -> Vec<u8> {
    let mut changed = program.to_vec();
    changed[place..place + bytes.len()].copy_from_slice(bytes);
    changed
}

#[test]
fn the_program_is_one_that_the_fleet_test_can_start() {
    let program = fs::read(env!("CARGO_BIN_EXE_doorproxy")).unwrap();
    let file: ElfFile64<Endianness> = ElfFile64::parse(&*program).unwrap();
    let headers = file.elf_header().program_headers(file.endian(), file.data()).unwrap();
    let is_loaded = |kind| headers.iter().position(|header| header.p_type(file.endian()) == kind).unwrap();
    let header = |place: usize| file.elf_header().e_phoff(file.endian()) as usize + place * 56;
    // A header of no kind stands for one that is not there.
    let fixed = with(&program, header(is_loaded(elf::PT_INTERP)), &[0; 4]);
    let alone = with(&fixed, header(is_loaded(elf::PT_DYNAMIC)), &[0; 4]);
    let at = program.windows(6).position(|bytes| bytes == b"\0bind\0").unwrap();
    let forking = with(&program, at + 1, b"fork");
    let told = [&program, &alone, &forking, &b"#!/bin/sh\n".to_vec()];
    let told = told.map(|program| faults(program).unwrap_or_else(|error| format!("{error}\n")));
    expect![[r#"
        --
        nothing loads libraries into it: it is linked statically
        the C library is not among what it is linked against: []
        --
        it reaches for fork
        --
        Invalid ELF header size or alignment
    "#]]
    .assert_eq(&told.join("--\n"));
}

/// What the bench asks of a process beside what it is linked with: it starts no other, and a thread of it either waits
/// or ends.
#[test]
fn a_balancer_that_serves_is_one_process_whose_threads_wait() {
    let trace = Trace::default();
    let balancer = start(&[line("a", upstream("A", &trace), "active")]);
    Client::new(&balancer).get("/look", "1").answer(&trace);
    let tasks = Path::new("/proc").join(balancer.process.id().to_string()).join("task");
    let read = |task: &Path, name| fs::read_to_string(task.join(name)).unwrap_or_default();
    // Only a thread that never waits keeps this from ending.
    loop {
        let tasks: Vec<_> = fs::read_dir(&tasks).unwrap().map(|task| task.unwrap().path()).collect();
        let children: String = tasks.iter().map(|task| read(task, "children")).collect();
        assert_eq!(children, "", "it started other processes");
        let waits = |task: &Path| {
            // The name may hold anything but ends with the last bracket; then comes the state.
            let stat = read(task, "stat");
            stat.rsplit_once(") ").is_none_or(|(_, state)| state.starts_with('S'))
        };
        if tasks.iter().all(|task| waits(task)) {
            break;
        }
    }
}
