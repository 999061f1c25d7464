//! Reads the ranges of key slots, and checks that every key has exactly one owner.

use crate::finding::{Code, nearest_name_hint};
use crate::sidecar::{EndpointSource, KeyRange};
use crate::table::{Findings, Located, TableReader, TomlValue};
use crate::units::{self, RangeEnd};

/// Holds the endpoint kinds of a pool, or `None` if its endpoints come from discovery and can be of any kind.
pub struct EndpointKinds(Option<Vec<String>>);

impl EndpointKinds {
    /// Returns the kinds of a source.
    pub fn of_source(source: &EndpointSource) -> EndpointKinds {
        EndpointKinds(match source {
            EndpointSource::Static(endpoints) => {
                Some(endpoints.iter().map(|endpoint| endpoint.kind.clone()).collect())
            }
            EndpointSource::Discovery(_) => None,
        })
    }

    /// Returns whether endpoints of this kind exist or can exist.
    pub fn contains(&self, kind: &str) -> bool {
        self.0.as_ref().is_none_or(|kinds| kinds.iter().any(|known| known == kind))
    }

    /// Returns the end of a message that suggests the nearest kind.
    pub fn hint(&self, kind: &str) -> String {
        nearest_name_hint(kind, self.0.iter().flatten().map(String::as_str))
    }
}

/// Reads the ranges of one pool.
pub struct KeyRangeReader<'p> {
    pub pool: &'p str,
    pub kinds: EndpointKinds,
    /// Whether a default kind owns the keys that no range owns.
    pub has_default: bool,
}

struct ParsedRange {
    kind: Located<String>,
    first: Located<u64>,
    last: Located<u64>,
}

impl KeyRangeReader<'_> {
    /// Reads the ranges, which must be sorted by their slots.
    pub fn read(&self, table: &mut TableReader, findings: &mut Findings) -> Vec<KeyRange> {
        let mut ranges: Vec<KeyRange> = Vec::new();
        let mut last_span = 0..0;
        for value in table.array("ranges", findings) {
            let Some(range) = self.read_range(value, findings) else { continue };
            self.check_kind(&range.kind, findings);
            if self.check_order(&range, ranges.last(), findings).is_err() {
                continue;
            }
            self.check_gap(&range, ranges.last(), findings);
            last_span = value.span();
            ranges.push(KeyRange {
                kind: range.kind.value,
                first: range.first.value,
                last: range.last.value,
            });
        }
        if let Some(range) = ranges.last()
            && range.last < u64::MAX
            && !self.has_default
        {
            let message = format!(
                "pool {:?} has no owner for keys above {:016x}; set default, or end the last range at ffff",
                self.pool, range.last
            );
            findings.error(Code::RangeWithoutGroup, last_span, message);
        }
        ranges
    }

    fn read_range(&self, value: &TomlValue, findings: &mut Findings) -> Option<ParsedRange> {
        let description = format!("a range of pool {:?}", self.pool);
        let mut table = TableReader::from_value(description, value, findings)?;
        let kind = table.required_string("kind", findings);
        let first = read_slot(&mut table, "from", RangeEnd::First, findings);
        let last = read_slot(&mut table, "to", RangeEnd::Last, findings);
        table.reject_unknown_fields(findings);
        Some(ParsedRange { kind: kind?, first: first?, last: last? })
    }

    fn check_kind(&self, kind: &Located<String>, findings: &mut Findings) {
        if self.kinds.contains(&kind.value) {
            return;
        }
        let hint = self.kinds.hint(&kind.value);
        let message =
            format!("kind {:?} of this range has no server in pool {:?}{hint}", kind.value, self.pool);
        findings.error(Code::RangeWithoutGroup, kind.span.clone(), message);
    }

    /// Checks a range against the one before it. The caller skips a range that is out of order, so that the
    /// next one is compared with the last valid range.
    fn check_order(
        &self,
        range: &ParsedRange,
        before: Option<&KeyRange>,
        findings: &mut Findings,
    ) -> Result<(), OutOfOrder> {
        let first = &range.first;
        if range.last.value < first.value {
            findings.error(
                Code::RangeOrder,
                range.last.span.clone(),
                "this range ends before it starts: to must not be lower than from",
            );
            return Err(OutOfOrder);
        }
        let Some(before) = before else { return Ok(()) };
        if first.value < before.first {
            let message = "ranges must be sorted by their keys; this one starts before the one above it";
            findings.error(Code::RangeOrder, first.span.clone(), message);
            return Err(OutOfOrder);
        }
        if first.value <= before.last {
            let message = "this range overlaps the one above it; to is inclusive";
            findings.error(Code::RangeOverlap, first.span.clone(), message);
            return Err(OutOfOrder);
        }
        Ok(())
    }

    fn check_gap(&self, range: &ParsedRange, before: Option<&KeyRange>, findings: &mut Findings) {
        let first = &range.first;
        if self.has_default {
            return;
        }
        let message = match before {
            Some(before) if first.value - before.last > 1 => format!(
                "pool {:?} has no owner for keys between {:016x} and {:016x}; set default, or close the gap",
                self.pool, before.last, first.value
            ),
            None if first.value > 0 => format!(
                "pool {:?} has no owner for keys below {:016x}; set default, or start the first range at 0",
                self.pool, first.value
            ),
            _ => return,
        };
        findings.error(Code::RangeWithoutGroup, first.span.clone(), message);
    }
}

/// Marks a range that is reversed, or overlaps or precedes the one before. The finding has been added.
struct OutOfOrder;

fn read_slot(
    table: &mut TableReader,
    name: &'static str,
    end: RangeEnd,
    findings: &mut Findings,
) -> Option<Located<u64>> {
    let text = table.required_string(name, findings)?;
    match units::parse_key_slot(&text.value, end) {
        Ok(value) => Some(Located { value, span: text.span }),
        Err(error) => {
            let message = format!("{name} of {}: {error}", table.description);
            findings.error(Code::BadUnit, text.span, message);
            None
        }
    }
}
