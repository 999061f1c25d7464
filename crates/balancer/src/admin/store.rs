//! Stores text in files that several processes of one balancer share.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::file_names::safe_file_name;

const MAX_LOCK_ATTEMPTS: u32 = 50;
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Stores a text that outlives the process and may be shared with other processes.
pub trait TextStore: Send + Sync {
    /// Returns the text, or an empty one if none was ever written.
    ///
    /// # Errors
    ///
    /// Fails if the text can't be read.
    fn read(&self) -> io::Result<String>;

    /// Replaces the text by what `make` returns for it, while other processes are locked out. An unchanged
    /// text is not written.
    ///
    /// # Errors
    ///
    /// Fails if the text can't be read or written, or another process holds the lock for half a second.
    fn update(&self, make: &mut dyn FnMut(&str) -> String) -> io::Result<()>;
}

/// Stores a text in a file. A second file is locked during a change; the system releases the lock if the
/// process dies.
pub struct FileStore {
    path: PathBuf,
}

impl FileStore {
    /// Creates the store of the manual overrides of one balancer.
    pub fn for_balancer(directory: &Path, balancer: &str) -> FileStore {
        FileStore { path: directory.join(format!("doorproxy-{}.bans", safe_file_name(balancer))) }
    }

    /// Creates the store of the overrides for the whole fleet, as one balancer knows them.
    pub fn for_fleet(directory: &Path, balancer: &str) -> FileStore {
        FileStore { path: directory.join(format!("doorproxy-{}.words", safe_file_name(balancer))) }
    }

    /// Locks the second file. Waits for half a second at most, since callers of the admin API wait for one
    /// second.
    fn lock(&self) -> io::Result<File> {
        let file = OpenOptions::new().create(true).append(true).open(self.path.with_extension("lock"))?;
        let mut attempts = 0;
        while let Err(error) = file.try_lock() {
            attempts += 1;
            match error {
                TryLockError::WouldBlock if attempts < MAX_LOCK_ATTEMPTS => {
                    std::thread::sleep(LOCK_RETRY_INTERVAL);
                }
                error => return Err(error.into()),
            }
        }
        Ok(file)
    }

    /// Writes a new file and renames it over the old one, so that a crash leaves either the old or the new
    /// text.
    fn replace(&self, text: &str) -> io::Result<()> {
        let new_path = self.path.with_extension("new");
        let mut file = File::create(&new_path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&new_path, &self.path)
    }
}

impl TextStore for FileStore {
    fn read(&self) -> io::Result<String> {
        match std::fs::read(&self.path) {
            Ok(bytes) => Ok(String::from_utf8_lossy(&bytes).into_owned()),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(String::new()),
            Err(error) => Err(error),
        }
    }

    fn update(&self, make: &mut dyn FnMut(&str) -> String) -> io::Result<()> {
        let _lock = self.lock()?;
        let before = self.read()?;
        let after = make(&before);
        if after == before {
            return Ok(());
        }
        self.replace(&after)
    }
}
