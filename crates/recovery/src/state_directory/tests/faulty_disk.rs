//! An in-memory disk that fails and crashes at the calls that a test chooses.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use crate::disk::Disk;

/// Simulates a disk that loses unsynced data in a crash, and whose calls fail as a test demands.
#[derive(Clone, Default)]
pub struct FaultyDisk {
    pub names: BTreeMap<PathBuf, usize>,
    /// Holds the directory entries that survive a crash.
    pub durable_names: BTreeMap<PathBuf, usize>,
    /// Holds the current bytes of each file, and the bytes that survive a crash.
    pub files: Vec<(Vec<u8>, Vec<u8>)>,
    pub call_count: usize,
    /// Holds the numbers of the calls that fail, counted from 1. A failed write leaves half of the bytes.
    pub failing_calls: Vec<usize>,
    pub last_call_before_crash: Option<usize>,
}

impl FaultyDisk {
    fn begin_call(&mut self) -> io::Result<()> {
        self.call_count += 1;
        if self.last_call_before_crash.is_some_and(|last| self.call_count > last) {
            return Err(io::Error::other("the machine has crashed"));
        }
        if self.failing_calls.contains(&self.call_count) {
            return Err(io::Error::other("the disk failed"));
        }
        Ok(())
    }

    /// Returns the disk as it is after a power failure now. Unsynced directory entries may have survived or
    /// not.
    pub fn after_crash(&self, keeps_unsynced_names: bool) -> FaultyDisk {
        let names = if keeps_unsynced_names { &self.names } else { &self.durable_names }.clone();
        let files = self.files.iter().map(|(_, durable)| (durable.clone(), durable.clone())).collect();
        FaultyDisk { durable_names: names.clone(), names, files, ..FaultyDisk::default() }
    }

    pub fn current_bytes(&mut self, path: &Path) -> Option<&mut Vec<u8>> {
        let index = *self.names.get(path)?;
        Some(&mut self.files[index].0)
    }

    pub fn write_unsynced(&mut self, path: &Path, bytes: &[u8]) {
        let index = *self.names.entry(path.to_path_buf()).or_insert(self.files.len());
        if index == self.files.len() {
            self.files.push(Default::default());
        }
        // Half of the bytes may have reached the disk although the file was not synced.
        self.files[index] = (bytes.to_vec(), bytes[..bytes.len() / 2].to_vec());
    }
}

impl Disk for FaultyDisk {
    fn read(&mut self, path: &Path, _: usize) -> io::Result<Option<Vec<u8>>> {
        self.begin_call()?;
        Ok(self.current_bytes(path).cloned())
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let outcome = self.begin_call();
        if self.last_call_before_crash.is_none_or(|last| self.call_count <= last) {
            self.write_unsynced(path, if outcome.is_ok() { bytes } else { &bytes[..bytes.len() / 2] });
        }
        outcome
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        self.begin_call()?;
        let index = *self.names.get(path).ok_or(io::ErrorKind::NotFound)?;
        self.files[index].1 = self.files[index].0.clone();
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.begin_call()?;
        let index = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_path_buf(), index);
        Ok(())
    }

    fn sync_directory(&mut self, _: &Path) -> io::Result<()> {
        self.begin_call()?;
        self.durable_names = self.names.clone();
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.begin_call()?;
        self.names.remove(path).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }
}
