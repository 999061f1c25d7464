//! Reads text files.

use std::path::Path;

use crate::error::FileError;

/// Reads a file as UTF-8.
///
/// # Errors
/// Returns an error with the path if the file can't be read or is not valid UTF-8.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(FileError::at(path))
}
