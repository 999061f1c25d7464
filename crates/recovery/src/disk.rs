//! The file system calls of a [`StateDirectory`](crate::state_directory::StateDirectory).

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

/// Declares the file system calls of a state directory, so that a test can make each of them fail.
pub trait Disk {
    /// Reads at most `max_bytes` of a file. Returns `None` if the file does not exist.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened or read.
    fn read(&mut self, path: &Path, max_bytes: usize) -> io::Result<Option<Vec<u8>>>;

    /// Creates or overwrites a file. Its bytes may be lost in a crash until [`Disk::sync`] has returned.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written. It may then contain part of the bytes.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Syncs a file, so that its bytes survive a crash.
    ///
    /// # Errors
    /// Returns an error if the file cannot be synced.
    fn sync(&mut self, path: &Path) -> io::Result<()>;

    /// Renames a file. A file that already has the new name is replaced.
    ///
    /// # Errors
    /// Returns an error if the file cannot be renamed.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;

    /// Syncs a directory, so that its entries survive a crash.
    ///
    /// # Errors
    /// Returns an error if the directory cannot be synced.
    fn sync_directory(&mut self, path: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be removed or does not exist.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// Accesses the file system of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDisk;

impl Disk for LocalDisk {
    fn read(&mut self, path: &Path, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.take(max_bytes as u64).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        File::create(path)?.write_all(bytes)
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        File::options().write(true).open(path)?.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_directory(&mut self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}
