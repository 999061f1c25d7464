//! The files by which two processes of a balancer tell each other, during an upgrade, which requests may have run. Each
//! process appends to a file of its own and reads those of the others.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

use crate::handover::SentId;

/// Length of a record: the hash of an id, and 1 if its request may have run.
const RECORD_BYTES: usize = 9;
/// Maximum number of records of a process; further ones are not shared.
const MAX_RECORDS: usize = 65_536;

/// Holds the files of the processes of one balancer.
pub(super) struct SentIdFiles {
    directory: PathBuf,
    prefix: String,
    own: Option<OwnFile>,
    others: BTreeMap<u64, File>,
}

struct OwnFile {
    file: File,
    path: PathBuf,
    records: usize,
}

impl SentIdFiles {
    /// Creates no file yet. `prefix` and the number of a process make up the name of its file.
    pub(super) fn new(directory: &Path, prefix: String) -> SentIdFiles {
        SentIdFiles { directory: directory.to_path_buf(), prefix, own: None, others: BTreeMap::new() }
    }

    pub(super) fn path(&self, number: u64) -> PathBuf {
        self.directory.join(format!("{}{number}", self.prefix))
    }

    /// Appends records to the file of this process, which is created if there is none.
    pub(super) fn append(&mut self, number: u64, ids: &[SentId]) -> io::Result<()> {
        let own = match &mut self.own {
            Some(own) => own,
            None => {
                let path = self.path(number);
                let file = OpenOptions::new().create(true).truncate(true).write(true).open(&path)?;
                self.own.insert(OwnFile { file, path, records: 0 })
            }
        };
        let allowed = MAX_RECORDS.saturating_sub(own.records).min(ids.len());
        let mut bytes = Vec::with_capacity(allowed * RECORD_BYTES);
        for id in &ids[..allowed] {
            bytes.extend_from_slice(&id.hash.to_le_bytes());
            bytes.push(id.may_have_run.into());
        }
        own.records += allowed;
        own.file.write_all(&bytes)
    }

    /// Removes the file of this process, which the others have open if they read it.
    pub(super) fn remove_own(&mut self) {
        if let Some(own) = self.own.take() {
            let _ = std::fs::remove_file(own.path);
        }
    }

    /// Returns the records that the processes with these numbers have appended since the last call. A file is read a
    /// last time after its process has ended.
    pub(super) fn read(&mut self, numbers: &[u64]) -> Vec<SentId> {
        for &number in numbers {
            if !self.others.contains_key(&number)
                && let Ok(file) = File::open(self.path(number))
            {
                self.others.insert(number, file);
            }
        }
        let mut ids = Vec::new();
        self.others.retain(|number, file| {
            read_records(file, &mut ids);
            numbers.contains(number)
        });
        ids
    }
}

fn read_records(file: &mut File, ids: &mut Vec<SentId>) {
    // Records are appended by single writes, so a whole number of them is read.
    let mut bytes = Vec::new();
    if file.read_to_end(&mut bytes).is_err() {
        return;
    }
    for record in bytes.chunks_exact(RECORD_BYTES) {
        let (hash, may_have_run) = record.split_at(RECORD_BYTES - 1);
        let Ok(hash) = hash.try_into() else { continue };
        ids.push(SentId { hash: u64::from_le_bytes(hash), may_have_run: may_have_run[0] != 0 });
    }
}
