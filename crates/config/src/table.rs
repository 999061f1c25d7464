//! Reads a TOML table field by field and keeps the position of each, so that all findings of a file are
//! reported at once. Fields that the reader never asked for are findings too.

use std::ops::Range;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::{Code, Finding, nearest_name_hint};
use crate::units::{self, UnitError};

/// Represents a TOML value with its position.
pub type TomlValue<'a> = Spanned<DeValue<'a>>;

/// Collects the findings of a file in the order in which they are added.
#[derive(Default)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds an error, which prevents the file from being loaded.
    pub fn error(&mut self, code: Code, span: Range<usize>, message: impl Into<String>) {
        self.0.push(Finding { code, is_error: true, message: message.into(), span });
    }

    /// Adds a warning, with which the file can still be loaded.
    pub fn warning(&mut self, code: Code, span: Range<usize>, message: impl Into<String>) {
        self.0.push(Finding { code, is_error: false, message: message.into(), span });
    }

    /// Returns whether there are no findings, not even warnings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether any finding is an error.
    pub fn has_error(&self) -> bool {
        self.0.iter().any(|finding| finding.is_error)
    }

    /// Returns the findings in the order in which they were added.
    pub fn into_vec(self) -> Vec<Finding> {
        self.0
    }

    /// Returns the findings sorted by position, and those at the same position in the order of [`Code`].
    pub fn into_sorted(mut self) -> Vec<Finding> {
        self.0.sort_by_key(|finding| (finding.span.start, finding.code));
        self.0
    }
}

/// Holds a value and its position.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// Holds the value.
    pub value: T,
    /// Which bytes of the file hold it.
    pub span: Range<usize>,
}

/// Holds an entry of a table whose keys are chosen by the file's author.
pub struct NamedValue<'t, 'a> {
    /// Holds the key and its position.
    pub name: Located<String>,
    /// Holds the value of the key.
    pub value: &'t TomlValue<'a>,
}

/// Holds the smallest and the largest valid value, both as written in a file.
type QuantityBounds = (&'static str, &'static str);

/// Reads one table of the file.
pub struct TableReader<'t, 'a> {
    /// Names the table in messages.
    pub description: String,
    /// Which bytes of the file hold the table.
    pub span: Range<usize>,
    table: &'t DeTable<'a>,
    known_fields: Vec<&'static str>,
}

fn type_name(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

impl<'t, 'a> TableReader<'t, 'a> {
    /// Creates a reader for a table, which messages name by the description.
    pub fn new(
        description: impl Into<String>,
        span: Range<usize>,
        table: &'t DeTable<'a>,
    ) -> TableReader<'t, 'a> {
        TableReader { description: description.into(), span, table, known_fields: Vec::new() }
    }

    /// Creates a reader for a value that must be a table. Otherwise adds a finding and returns `None`.
    pub fn from_value(
        description: impl Into<String>,
        value: &'t TomlValue<'a>,
        findings: &mut Findings,
    ) -> Option<TableReader<'t, 'a>> {
        let description = description.into();
        match value.get_ref() {
            DeValue::Table(table) => Some(TableReader::new(description, value.span(), table)),
            other => {
                let message = format!("{description} must be a table, not {}", type_name(other));
                findings.error(Code::WrongType, value.span(), message);
                None
            }
        }
    }

    /// Returns the value of a field, if present, and marks the field as known.
    pub fn get(&mut self, name: &'static str) -> Option<&'t TomlValue<'a>> {
        self.known_fields.push(name);
        self.table.get(name)
    }

    /// Marks a field as known without reading it.
    pub fn mark_known(&mut self, name: &'static str) {
        self.known_fields.push(name);
    }

    /// Returns whether the table has the field, of any type.
    pub fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Returns the position of a field's value, or that of the table if the field is missing.
    pub fn span_of(&self, name: &str) -> Range<usize> {
        self.table.get(name).map_or(self.span.clone(), Spanned::span)
    }

    fn report_wrong_type(&self, name: &str, expected: &str, value: &TomlValue, findings: &mut Findings) {
        let message =
            format!("{name} of {} must be {expected}, not {}", self.description, type_name(value.get_ref()));
        findings.error(Code::WrongType, value.span(), message);
    }

    /// Reads a string. Returns `None` if the field is missing or has another type, which adds a finding.
    pub fn string(&mut self, name: &'static str, findings: &mut Findings) -> Option<Located<String>> {
        let value = self.get(name)?;
        match value.get_ref() {
            DeValue::String(text) => Some(Located { value: text.to_string(), span: value.span() }),
            _ => {
                self.report_wrong_type(name, "a string", value, findings);
                None
            }
        }
    }

    /// Reads a string like [`TableReader::string`], but also adds a finding if the field is missing.
    pub fn required_string(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
    ) -> Option<Located<String>> {
        if !self.has(name) {
            self.known_fields.push(name);
            let message = format!("{} is missing the required field {name}", self.description);
            findings.error(Code::MissingField, self.span.clone(), message);
            return None;
        }
        self.string(name, findings)
    }

    /// Reads a boolean. Returns false if the field is missing or has another type, which adds a finding.
    pub fn boolean(&mut self, name: &'static str, findings: &mut Findings) -> bool {
        let Some(value) = self.get(name) else { return false };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => {
                self.report_wrong_type(name, "true or false", value, findings);
                false
            }
        }
    }

    /// Reads a number within inclusive bounds. Returns the default if the field is missing or invalid; an
    /// invalid one adds a finding.
    pub fn number(
        &mut self,
        name: &'static str,
        bounds: (f64, f64),
        default: f64,
        findings: &mut Findings,
    ) -> f64 {
        let Some(value) = self.get(name) else { return default };
        let number: Option<f64> = match value.get_ref() {
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok().map(|n| n as f64)
            }
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => {
                self.report_wrong_type(name, "a number", value, findings);
                return default;
            }
        };
        match number.filter(|number| (bounds.0..=bounds.1).contains(number)) {
            Some(number) => number,
            None => {
                let message =
                    format!("{name} of {} must be between {} and {}", self.description, bounds.0, bounds.1);
                findings.error(Code::OutOfBounds, value.span(), message);
                default
            }
        }
    }

    fn quantity<T: PartialOrd + Copy>(
        &mut self,
        name: &'static str,
        (min, max): QuantityBounds,
        parse: impl Fn(&str) -> Result<T, UnitError>,
        findings: &mut Findings,
    ) -> Option<Located<T>> {
        let text = self.string(name, findings)?;
        match parse(&text.value) {
            Err(error) => {
                findings.error(Code::BadUnit, text.span, format!("{name} of {}: {error}", self.description))
            }
            Ok(value) => {
                let bounds = parse(min).ok().zip(parse(max).ok());
                if bounds.is_none_or(|(min, max)| min <= value && value <= max) {
                    return Some(Located { value, span: text.span });
                }
                let message = format!("{name} of {} must be between {min} and {max}", self.description);
                findings.error(Code::OutOfBounds, text.span, message);
            }
        }
        None
    }

    /// Reads a duration within inclusive bounds. Returns `None` if the field is missing or invalid; an
    /// invalid one adds a finding.
    pub fn duration(
        &mut self,
        name: &'static str,
        bounds: QuantityBounds,
        findings: &mut Findings,
    ) -> Option<Located<Duration>> {
        self.quantity(name, bounds, units::parse_duration, findings)
    }

    /// Reads a size in bytes within inclusive bounds, like [`TableReader::duration`].
    pub fn byte_size(
        &mut self,
        name: &'static str,
        bounds: QuantityBounds,
        findings: &mut Findings,
    ) -> Option<Located<u64>> {
        self.quantity(name, bounds, units::parse_size, findings)
    }

    /// Reads a list. Returns an empty one if the field is missing or has another type, which adds a finding.
    pub fn array(&mut self, name: &'static str, findings: &mut Findings) -> &'t [TomlValue<'a>] {
        let Some(value) = self.get(name) else { return &[] };
        match value.get_ref() {
            DeValue::Array(items) => items,
            _ => {
                self.report_wrong_type(name, "a list", value, findings);
                &[]
            }
        }
    }

    /// Reads the strings of a list, and adds a finding for each item of another type.
    pub fn strings(&mut self, name: &'static str, findings: &mut Findings) -> Vec<Located<String>> {
        let mut texts = Vec::new();
        for item in self.array(name, findings) {
            match item.get_ref() {
                DeValue::String(text) => texts.push(Located { value: text.to_string(), span: item.span() }),
                _ => self.report_wrong_type(name, "a list of strings", item, findings),
            }
        }
        texts
    }

    /// Reads the entries of a table whose keys are chosen by the file's author, sorted by key.
    pub fn entries(&mut self, name: &'static str, findings: &mut Findings) -> Vec<NamedValue<'t, 'a>> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let DeValue::Table(table) = value.get_ref() else {
            self.report_wrong_type(name, "a table of tables", value, findings);
            return Vec::new();
        };
        let entry = |(key, value): (&Spanned<_>, &'t TomlValue<'a>)| {
            let name: &std::borrow::Cow<str> = key.get_ref();
            NamedValue { name: Located { value: name.to_string(), span: key.span() }, value }
        };
        table.iter().map(entry).collect()
    }

    /// Adds a finding for each field that is not known. Call it after all known fields have been read.
    pub fn reject_unknown_fields(self, findings: &mut Findings) {
        for (key, _) in self.table.iter() {
            let name = key.get_ref().as_ref();
            if !self.known_fields.contains(&name) {
                let hint = nearest_name_hint(name, self.known_fields.iter().copied());
                let message = format!("{} has no field {name:?}{hint}", self.description);
                findings.error(Code::UnknownField, key.span(), message);
            }
        }
    }
}
