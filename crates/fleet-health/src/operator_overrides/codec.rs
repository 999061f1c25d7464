//! The text format in which a register is stored: one line per override, each with a checksum.
//!
//! The checksum prevents a truncated line from ejecting another endpoint, whose name is a prefix of the
//! stored one.

use doorproxy::ids::Timestamp;
use doorproxy::rng::hash_text;
use doorproxy_membership::message::NodeId;

use super::override_entry::{Override, OverrideEntry, is_valid_name};
use super::register::{OverrideRegister, RegisteredOverride};

const EJECTED_KEYWORD: &str = "out";
const RESTORED_KEYWORD: &str = "back";
/// Counts the fields of a line: keyword, version, author, time and name.
const FIELD_COUNT: usize = 5;

/// Holds what could be read from a stored register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedRegister {
    /// Holds the overrides of all readable lines.
    pub register: OverrideRegister,
    /// Counts the lines that could not be read.
    pub unreadable_lines: usize,
}

struct StoredOverride {
    entry: OverrideEntry,
    learned_at: Timestamp,
}

impl OverrideRegister {
    /// Returns the text of all overrides.
    pub fn encode(&self) -> String {
        self.iter().map(|(name, registered)| encode_line(name, registered)).collect()
    }

    /// Reads all readable lines. A `learned_at` later than `now` is replaced by `now`.
    pub fn decode(now: Timestamp, text: &str) -> DecodedRegister {
        let mut register = OverrideRegister::default();
        let mut unreadable_lines = 0;
        for line in text.split_inclusive('\n').filter(|line| !line.trim().is_empty()) {
            match decode_line(line) {
                Some(stored) if is_valid_name(&stored.entry.endpoint) => {
                    register.merge(stored.learned_at.min(now), &stored.entry);
                }
                _ => unreadable_lines += 1,
            }
        }
        DecodedRegister { register, unreadable_lines }
    }
}

fn checksum(fields: &str) -> String {
    format!("{:08x}", hash_text(fields) as u32)
}

fn encode_line(name: &str, registered: RegisteredOverride) -> String {
    let RegisteredOverride { value, learned_at } = registered;
    let keyword = if value.is_ejected { EJECTED_KEYWORD } else { RESTORED_KEYWORD };
    let fields = format!("{keyword} {} {:016x} {} {name}", value.version, value.author.0, learned_at.0);
    format!("{fields} {}\n", checksum(&fields))
}

fn decode_line(line: &str) -> Option<StoredOverride> {
    let (fields, sum) = line.strip_suffix('\n')?.rsplit_once(' ')?;
    if sum != checksum(fields) {
        return None;
    }
    let mut fields = fields.splitn(FIELD_COUNT, ' ');
    let is_ejected = match fields.next()? {
        EJECTED_KEYWORD => true,
        RESTORED_KEYWORD => false,
        _ => return None,
    };
    let version = fields.next()?.parse().ok()?;
    let author = NodeId(u64::from_str_radix(fields.next()?, 16).ok()?);
    let learned_at = Timestamp(fields.next()?.parse().ok()?);
    let endpoint = fields.next()?.to_string();
    let value = Override { version, is_ejected, author };
    Some(StoredOverride { entry: OverrideEntry { endpoint, value }, learned_at })
}
