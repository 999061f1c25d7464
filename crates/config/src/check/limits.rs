//! Reads the resource limits of a sidecar.

use std::time::Duration;

use crate::finding::Code;
use crate::sidecar::ResourceLimits;
use crate::table::{Findings, TableReader};

const DEFAULT_MAX_SOCKETS: usize = 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 64 << 10;
const DEFAULT_MAX_HEAD_BYTES: u64 = 16 << 10;
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(60);

fn default_limits() -> ResourceLimits {
    ResourceLimits {
        balancer_count: 1,
        max_sockets: DEFAULT_MAX_SOCKETS,
        max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        max_buffered_bytes: DEFAULT_MAX_BODY_BYTES,
        max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
        connect_timeout: DEFAULT_CONNECT_TIMEOUT,
        keepalive_timeout: DEFAULT_KEEPALIVE_TIMEOUT,
    }
}

/// Reads the limits, with defaults for missing fields.
pub fn read_limits(file: &mut TableReader, findings: &mut Findings) -> ResourceLimits {
    let limits = default_limits();
    let Some(value) = file.get("limits") else { return limits };
    match TableReader::from_value("limits", value, findings) {
        Some(table) => read_table(table, limits, findings),
        None => limits,
    }
}

fn read_table(mut table: TableReader, defaults: ResourceLimits, findings: &mut Findings) -> ResourceLimits {
    let balancer_count = table.number("sharers", (1.0, 1e5), 1.0, findings) as u32;
    let max_sockets = table.number("sockets", (64.0, 1e6), DEFAULT_MAX_SOCKETS as f64, findings) as usize;
    let buffered = table.byte_size("held", ("0B", "16MiB"), findings);
    let body = table.byte_size("body", ("0B", "64GiB"), findings);
    let head = table.byte_size("head", ("1KiB", "1MiB"), findings);
    let connect = table.duration("connect", ("1ms", "60s"), findings);
    let keepalive = table.duration("keepalive", ("100ms", "60m"), findings);
    let max_body_bytes = body.map_or(defaults.max_body_bytes, |size| size.value);
    let default_buffered_bytes = defaults.max_buffered_bytes.min(max_body_bytes);
    let limits = ResourceLimits {
        balancer_count,
        max_sockets,
        max_body_bytes,
        max_buffered_bytes: buffered.map_or(default_buffered_bytes, |size| size.value),
        max_head_bytes: head.map_or(defaults.max_head_bytes, |size| size.value),
        connect_timeout: connect.map_or(defaults.connect_timeout, |time| time.value),
        keepalive_timeout: keepalive.map_or(defaults.keepalive_timeout, |time| time.value),
    };
    if limits.max_buffered_bytes > limits.max_body_bytes {
        let message = "held of limits must be at most body, the largest request body that is accepted";
        findings.error(Code::OutOfBounds, table.span_of("held"), message);
    }
    table.reject_unknown_fields(findings);
    limits
}
