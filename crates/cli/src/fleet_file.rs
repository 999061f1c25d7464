//! Reads the fleet file for the server and for commands.

use std::path::Path;

use doorproxy_config::fleet::{self, CheckedFleetConfig, FleetConfig};

use crate::error::FleetFileError;
use crate::files::read_text;

/// Reads a fleet file, and prints warnings to stderr.
///
/// # Errors
/// Returns an error if the file can't be read, or one with the findings if it is invalid.
pub fn read_fleet_file(path: &Path) -> Result<FleetConfig, FleetFileError> {
    let text = read_text(path)?;
    let CheckedFleetConfig { config, findings } = fleet::check(&text);
    let file = path.display().to_string();
    let rendered: String = findings.iter().map(|finding| finding.render(&file, &text)).collect();
    let Some(config) = config else {
        let findings = rendered.trim_end().to_string();
        return Err(FleetFileError::Invalid { path: path.to_path_buf(), findings });
    };
    if !rendered.is_empty() {
        eprint!("{rendered}");
    }
    Ok(config)
}
