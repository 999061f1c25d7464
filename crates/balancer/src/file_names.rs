//! Derives file names from a balancer's name.

/// Replaces every character of a balancer's name that is not an ASCII letter, a digit or `-` by an
/// underscore.
pub fn safe_file_name(balancer: &str) -> String {
    balancer.replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "_")
}
