//! Implements the lock files by which the processes of one balancer detect each other.

use std::fs::{File, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use crate::file_names::safe_file_name;
use crate::handover::sent_ids::SentIdFiles;
use crate::handover::{SentId, SiblingStatus, Siblings};
use crate::sync::lock;

/// Marks the lock file of a process that serves.
const SERVING: &str = "serves\n";

/// Manages the numbered lock files in a directory that all processes of a balancer share, one file for each
/// process. A process holds a lock on its file while it runs. The system releases the lock when the process
/// is killed, so an unlocked file belongs to no running process.
pub struct ProcessLocks {
    directory: PathBuf,
    prefix: String,
    number: u64,
    own_lock: File,
    sent_ids: Mutex<SentIdFiles>,
}

impl ProcessLocks {
    /// Registers this process under the next free number.
    ///
    /// # Errors
    ///
    /// Fails if the directory can't be read or written.
    pub fn register(directory: &Path, balancer: &str) -> io::Result<ProcessLocks> {
        let name = safe_file_name(balancer);
        let prefix = format!("doorproxy-{name}.process-");
        let new_path = directory.join(format!("doorproxy-{name}.new-{}", std::process::id()));
        let own_lock = File::create(&new_path)?;
        // Locked before it is linked under its number, so that other processes never see it unlocked.
        own_lock.lock()?;
        let last = process_numbers(directory, &prefix)?.into_iter().max().unwrap_or(0);
        let number = claim_number(directory, &prefix, &new_path, last + 1)?;
        std::fs::remove_file(&new_path)?;
        let sent_ids = SentIdFiles::new(directory, format!("doorproxy-{name}.sent-"));
        // A process that was killed may have left a file under this number.
        let _ = std::fs::remove_file(sent_ids.path(number));
        let sent_ids = Mutex::new(sent_ids);
        Ok(ProcessLocks { directory: directory.to_path_buf(), prefix, number, own_lock, sent_ids })
    }

    fn snapshot_path(&self) -> PathBuf {
        self.directory.join(format!("{}learned", self.prefix))
    }

    fn lock_path(&self, number: u64) -> PathBuf {
        self.directory.join(format!("{}{number}", self.prefix))
    }

    /// Returns the content of another process's lock file. If that process no longer runs, removes the file
    /// and returns `None`.
    fn read_announcement(&self, number: u64) -> Option<String> {
        let path = self.lock_path(number);
        let file = File::open(&path).ok()?;
        match file.try_lock() {
            Err(TryLockError::WouldBlock) => io::read_to_string(file).ok(),
            Err(TryLockError::Error(_)) => None,
            Ok(()) => {
                let _ = std::fs::remove_file(path);
                let _ = std::fs::remove_file(lock(&self.sent_ids).path(number));
                None
            }
        }
    }
}

/// Links the file under the first free number and returns the number.
fn claim_number(directory: &Path, prefix: &str, new_path: &Path, first: u64) -> io::Result<u64> {
    for number in first.. {
        match std::fs::hard_link(new_path, directory.join(format!("{prefix}{number}"))) {
            Ok(()) => return Ok(number),
            // Another process that started at the same time has taken this number.
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::StorageFull.into())
}

fn process_numbers(directory: &Path, prefix: &str) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(directory)? {
        let name = entry?.file_name();
        numbers.extend(name.to_str().and_then(|name| name.strip_prefix(prefix)?.parse::<u64>().ok()));
    }
    Ok(numbers)
}

impl Siblings for ProcessLocks {
    fn announce_serving(&self) -> io::Result<()> {
        (&self.own_lock).write_all(SERVING.as_bytes())
    }

    fn status(&self) -> SiblingStatus {
        let mut status = SiblingStatus::default();
        // A directory that can't be read counts as empty, since failing here would leave no process that
        // serves.
        let numbers = process_numbers(&self.directory, &self.prefix).unwrap_or_default();
        for number in numbers.into_iter().filter(|number| *number != self.number) {
            let Some(announcement) = self.read_announcement(number) else { continue };
            let is_later = number > self.number;
            let is_serving = announcement == SERVING;
            status.has_siblings = true;
            status.has_predecessor |= !is_later;
            status.has_successor |= is_later && is_serving;
            status.has_starting_successor |= is_later && !is_serving;
        }
        status
    }

    fn save_snapshot(&self, text: &str) -> io::Result<()> {
        let new_path = self.directory.join(format!("{}learned-{}", self.prefix, self.number));
        std::fs::write(&new_path, text)?;
        std::fs::rename(new_path, self.snapshot_path())
    }

    fn load_snapshot(&self) -> Option<String> {
        std::fs::read_to_string(self.snapshot_path()).ok()
    }

    fn share_sent_ids(&self, ids: &[SentId]) -> io::Result<()> {
        lock(&self.sent_ids).append(self.number, ids)
    }

    fn stop_sharing(&self) {
        lock(&self.sent_ids).remove_own();
    }

    fn read_sent_ids(&self) -> Vec<SentId> {
        let mut numbers = process_numbers(&self.directory, &self.prefix).unwrap_or_default();
        numbers.retain(|number| *number != self.number);
        lock(&self.sent_ids).read(&numbers)
    }
}

impl Drop for ProcessLocks {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.lock_path(self.number));
        self.stop_sharing();
    }
}
