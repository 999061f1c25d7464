//! The directory of state files. Each balancer has one file, which is replaced as a whole.
//!
//! The order of writing, syncing and renaming in [`StateDirectory::save`] guarantees that after a crash at
//! any point either the old state or the new one is intact.

use std::io;
use std::path::{Path, PathBuf};

pub use crate::disk::{Disk, LocalDisk};
use crate::persisted_state::PersistedState;
use crate::state_file::{self, MAX_READ_BYTES, StateFileError};

/// Says why no state was loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file does not exist: this is the first start, or the directory was lost.
    #[error("no state file exists")]
    NotFound,
    /// The file cannot be read.
    #[error("the state file cannot be read: {0}")]
    Io(#[source] io::Error),
    /// The file is not a valid state file.
    #[error(transparent)]
    Invalid(StateFileError),
    /// The state was copied from the balancer of this name.
    #[error("the state belongs to balancer {0:?}, whose endpoint addresses may differ")]
    OtherBalancer(String),
}

/// Says why a state was not saved.
#[derive(Debug, thiserror::Error)]
pub enum SaveError {
    /// The disk failed. Either the old state or the new one is intact.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The state cannot be encoded. The old state is unchanged.
    #[error(transparent)]
    Encode(StateFileError),
    /// The existing file has this newer format version. It is unchanged.
    #[error("{}", StateFileError::NewerVersion(*.0))]
    NewerVersion(u32),
}

/// Accesses the state files of balancers in one directory.
#[derive(Clone, Debug)]
pub struct StateDirectory<D> {
    disk: D,
    path: PathBuf,
}

/// Escapes a balancer's name for use in a file name. Characters other than ASCII letters, digits and `-` are
/// replaced by their code point between underscores, so that two names never share a file.
fn file_name(balancer: &str) -> String {
    let escape = |c: char| match c {
        c if c.is_ascii_alphanumeric() || c == '-' => c.to_string(),
        c => format!("_{:x}_", u32::from(c)),
    };
    balancer.chars().map(escape).collect()
}

impl<D: Disk> StateDirectory<D> {
    /// Uses the directory at `path`, which must exist before a state is saved.
    pub fn new(disk: D, path: &Path) -> StateDirectory<D> {
        StateDirectory { disk, path: path.to_path_buf() }
    }

    /// Returns the path of a balancer's state file.
    pub fn state_path(&self, balancer: &str) -> PathBuf {
        self.path.join(format!("{}.state", file_name(balancer)))
    }

    /// Loads the state of a balancer. The file is never changed.
    ///
    /// # Errors
    /// Returns an error if there is no state file, or if the file cannot be read, is not valid, or belongs to
    /// another balancer.
    pub fn load(&mut self, balancer: &str) -> Result<PersistedState, LoadError> {
        let file = self.state_path(balancer);
        let contents = self.disk.read(&file, MAX_READ_BYTES).map_err(LoadError::Io)?;
        let bytes = contents.ok_or(LoadError::NotFound)?;
        let state = state_file::decode(&bytes).map_err(LoadError::Invalid)?;
        if state.balancer != balancer {
            return Err(LoadError::OtherBalancer(state.balancer));
        }
        Ok(state)
    }

    /// Replaces the state of the balancer that the state names. Once this returns `Ok`, the state survives a
    /// crash.
    ///
    /// # Errors
    /// Returns an error if the disk fails; either the old state or the new one is then intact. Returns
    /// [`SaveError::NewerVersion`] if a newer program wrote the existing file, which is left unchanged.
    pub fn save(&mut self, state: &PersistedState) -> Result<(), SaveError> {
        let file = self.state_path(&state.balancer);
        let bytes = state_file::encode(state).map_err(SaveError::Encode)?;
        self.check_replaceable(&file)?;
        let temporary = file.with_extension("new");
        self.disk.write(&temporary, &bytes)?;
        // The file is synced before the rename, so that the name never survives a crash without the bytes.
        self.disk.sync(&temporary)?;
        self.disk.rename(&temporary, &file)?;
        self.disk.sync_directory(&self.path)?;
        Ok(())
    }

    /// Returns an error if a newer program wrote the file. An old program that is started by mistake or for a
    /// rollback must not destroy state that the newer one will need.
    fn check_replaceable(&mut self, file: &Path) -> Result<(), SaveError> {
        let Some(bytes) = self.disk.read(file, MAX_READ_BYTES)? else { return Ok(()) };
        match state_file::decode(&bytes) {
            Err(StateFileError::NewerVersion(version)) => Err(SaveError::NewerVersion(version)),
            _ => Ok(()),
        }
    }

    /// Removes the state of a balancer.
    ///
    /// # Errors
    /// Returns an error if the disk fails or the file does not exist.
    pub fn remove(&mut self, balancer: &str) -> io::Result<()> {
        let file = self.state_path(balancer);
        self.disk.remove(&file)?;
        self.disk.sync_directory(&self.path)
    }
}

#[cfg(test)]
mod tests;
