//! Reads the addresses on which a sidecar listens.

use std::net::SocketAddr;

use crate::finding::Code;
use crate::sidecar::ListenAddress;
use crate::table::{Findings, Located, TableReader};

/// Reads the listeners, in the order of the file.
pub fn read_listeners(file: &mut TableReader, findings: &mut Findings) -> Vec<ListenAddress> {
    let mut listeners: Vec<ListenAddress> = Vec::new();
    for value in file.array("listen", findings) {
        let Some(mut table) = TableReader::from_value("listen", value, findings) else { continue };
        let Some(listener) = read_listener(&mut table, findings) else { continue };
        if listeners.iter().any(|known| overlaps(known, &listener.value)) {
            let message = format!(
                "{} conflicts with the address of another listener; remove one of them",
                listener.value.describe()
            );
            findings.error(Code::ListenConflict, listener.span, message);
        }
        table.reject_unknown_fields(findings);
        listeners.push(listener.value);
    }
    if listeners.is_empty() && !file.has("listen") {
        let message = "the file has no [[listen]] section, so no client could reach the sidecar";
        findings.error(Code::MissingField, 0..0, message);
    }
    listeners
}

fn read_listener(table: &mut TableReader, findings: &mut Findings) -> Option<Located<ListenAddress>> {
    let address = read_address(table, "address", findings);
    let path = table.string("unix", findings);
    let may_be_remote = table.boolean("allow_not_loopback", findings);
    let span = table.span_of(if table.has("unix") { "unix" } else { "address" });
    match (address, path) {
        (Some(address), None) => {
            if !address.ip().is_loopback() && !may_be_remote {
                let message = format!(
                    "{address} can be reached from other machines; set allow_not_loopback = true if this is \
                    intended"
                );
                findings.warning(Code::ListenNotLoopback, span.clone(), message);
            }
            Some(Located { value: ListenAddress::Tcp(address), span })
        }
        (None, Some(path)) if path.value.starts_with('/') => {
            Some(Located { value: ListenAddress::Unix(path.value.into()), span })
        }
        (None, Some(path)) => {
            findings.error(
                Code::BadAddress,
                path.span,
                "unix of listen must be an absolute path, one that begins with /",
            );
            None
        }
        // The address is present but invalid, for which read_address has added a finding.
        (None, None) if table.has("address") => None,
        _ => {
            let message = "listen must have either address or unix";
            findings.error(Code::MissingField, table.span.clone(), message);
            None
        }
    }
}

/// Returns whether two listeners use the same address. Port 0 stands for any free port and never conflicts.
fn overlaps(one: &ListenAddress, other: &ListenAddress) -> bool {
    match (one, other) {
        (ListenAddress::Tcp(one), ListenAddress::Tcp(other)) => {
            let shares_ip =
                one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
            one.port() == other.port() && one.port() != 0 && shares_ip
        }
        (one, other) => one == other,
    }
}

/// Reads an IP address and a port. Returns `None` if the field is missing or invalid; an invalid one adds a
/// finding.
pub fn read_address(
    table: &mut TableReader,
    name: &'static str,
    findings: &mut Findings,
) -> Option<SocketAddr> {
    let text = table.string(name, findings)?;
    let address = text.value.parse().ok();
    if address.is_none() {
        let message = format!(
            "{name} of {} must be an IP address and a port, such as \"127.0.0.1:5001\", not {:?}; host names \
            are not resolved",
            table.description, text.value
        );
        findings.error(Code::BadAddress, text.span, message);
    }
    address
}
