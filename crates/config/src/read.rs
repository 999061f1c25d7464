//! A TOML table read field by field, with the place of each, so that everything wrong with a file is said at once. It
//! must never take a field that it does not know.

use std::ops::Range;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::{Code, Finding, or_nearest};
use crate::units;

pub type Value<'a> = Spanned<DeValue<'a>>;

#[derive(Default)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    pub fn error(&mut self, code: Code, place: Range<usize>, sentence: impl Into<String>) {
        self.0.push(Finding { code, is_error: true, sentence: sentence.into(), place });
    }

    pub fn warning(&mut self, code: Code, place: Range<usize>, sentence: impl Into<String>) {
        self.0.push(Finding { code, is_error: false, sentence: sentence.into(), place });
    }
}

/// A value and where it stands.
#[derive(Clone, Debug)]
pub struct Placed<T> {
    pub value: T,
    pub place: Range<usize>,
}

/// One table of the file; what it is called in sentences.
pub struct Table<'t, 'a> {
    pub what: String,
    pub place: Range<usize>,
    table: &'t DeTable<'a>,
    asked: Vec<&'static str>,
}

fn kind(value: &DeValue) -> &'static str {
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

impl<'t, 'a> Table<'t, 'a> {
    pub fn new(what: impl Into<String>, place: Range<usize>, table: &'t DeTable<'a>) -> Table<'t, 'a> {
        Table { what: what.into(), place, table, asked: Vec::new() }
    }

    pub fn of(what: impl Into<String>, value: &'t Value<'a>, found: &mut Findings) -> Option<Table<'t, 'a>> {
        let what = what.into();
        match value.get_ref() {
            DeValue::Table(table) => Some(Table::new(what, value.span(), table)),
            other => {
                let sentence = format!("{what} has to be a table, not {}", kind(other));
                found.error(Code::WrongType, value.span(), sentence);
                None
            }
        }
    }

    pub fn value(&mut self, name: &'static str) -> Option<&'t Value<'a>> {
        self.asked.push(name);
        self.table.get(name)
    }

    /// A field that is known, whether or not it was read.
    pub fn asks(&mut self, name: &'static str) {
        self.asked.push(name);
    }

    pub fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Where a field or, if it is not there, the table stands.
    pub fn place_of(&self, name: &str) -> Range<usize> {
        self.table.get(name).map_or(self.place.clone(), Spanned::span)
    }

    fn wrong(&self, name: &str, wanted: &str, value: &Value, found: &mut Findings) {
        let sentence = format!("{name} of {} has to be {wanted}, not {}", self.what, kind(value.get_ref()));
        found.error(Code::WrongType, value.span(), sentence);
    }

    pub fn text(&mut self, name: &'static str, found: &mut Findings) -> Option<Placed<String>> {
        let value = self.value(name)?;
        match value.get_ref() {
            DeValue::String(text) => Some(Placed { value: text.to_string(), place: value.span() }),
            _ => {
                self.wrong(name, "a string", value, found);
                None
            }
        }
    }

    pub fn needed(&mut self, name: &'static str, found: &mut Findings) -> Option<Placed<String>> {
        if !self.has(name) {
            self.asked.push(name);
            let sentence = format!("{} needs the field {name}", self.what);
            found.error(Code::MissingField, self.place.clone(), sentence);
            return None;
        }
        self.text(name, found)
    }

    pub fn flag(&mut self, name: &'static str, found: &mut Findings) -> bool {
        let Some(value) = self.value(name) else { return false };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => {
                self.wrong(name, "true or false", value, found);
                false
            }
        }
    }

    pub fn number(
        &mut self,
        name: &'static str,
        bounds: (f64, f64),
        default: f64,
        found: &mut Findings,
    ) -> f64 {
        let Some(value) = self.value(name) else { return default };
        let number: Option<f64> = match value.get_ref() {
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok().map(|n| n as f64)
            }
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => {
                self.wrong(name, "a number", value, found);
                return default;
            }
        };
        match number.filter(|number| (bounds.0..=bounds.1).contains(number)) {
            Some(number) => number,
            None => {
                let sentence =
                    format!("{name} of {} has to lie between {} and {}", self.what, bounds.0, bounds.1);
                found.error(Code::OutOfBounds, value.span(), sentence);
                default
            }
        }
    }

    fn unit<T: PartialOrd + Copy>(
        &mut self,
        name: &'static str,
        (least, most): (&str, &str),
        read: impl Fn(&str) -> Result<T, String>,
        found: &mut Findings,
    ) -> Option<Placed<T>> {
        let text = self.text(name, found)?;
        match read(&text.value) {
            Err(sentence) => {
                found.error(Code::BadUnit, text.place, format!("{name} of {}: {sentence}", self.what))
            }
            Ok(value) => {
                let bounds = read(least).ok().zip(read(most).ok());
                if bounds.is_none_or(|(least, most)| least <= value && value <= most) {
                    return Some(Placed { value, place: text.place });
                }
                let sentence = format!("{name} of {} has to lie between {least} and {most}", self.what);
                found.error(Code::OutOfBounds, text.place, sentence);
            }
        }
        None
    }

    pub fn time(
        &mut self,
        name: &'static str,
        bounds: (&str, &str),
        found: &mut Findings,
    ) -> Option<Placed<Duration>> {
        self.unit(name, bounds, units::time, found)
    }

    pub fn size(
        &mut self,
        name: &'static str,
        bounds: (&str, &str),
        found: &mut Findings,
    ) -> Option<Placed<u64>> {
        self.unit(name, bounds, units::size, found)
    }

    pub fn list(&mut self, name: &'static str, found: &mut Findings) -> &'t [Value<'a>] {
        let Some(value) = self.value(name) else { return &[] };
        match value.get_ref() {
            DeValue::Array(items) => items,
            _ => {
                self.wrong(name, "a list", value, found);
                &[]
            }
        }
    }

    pub fn texts(&mut self, name: &'static str, found: &mut Findings) -> Vec<Placed<String>> {
        let mut texts = Vec::new();
        for item in self.list(name, found) {
            match item.get_ref() {
                DeValue::String(text) => texts.push(Placed { value: text.to_string(), place: item.span() }),
                _ => self.wrong(name, "a list of strings", item, found),
            }
        }
        texts
    }

    /// The tables below this field, by their names, which the file chooses.
    pub fn named(
        &mut self,
        name: &'static str,
        found: &mut Findings,
    ) -> Vec<(String, Range<usize>, &'t Value<'a>)> {
        let Some(value) = self.value(name) else { return Vec::new() };
        match value.get_ref() {
            DeValue::Table(table) => {
                table.iter().map(|(key, value)| (key.get_ref().to_string(), key.span(), value)).collect()
            }
            _ => {
                self.wrong(name, "a table of tables", value, found);
                Vec::new()
            }
        }
    }

    /// To be called when all was asked for.
    pub fn end(self, found: &mut Findings) {
        for (key, _) in self.table.iter() {
            let name = key.get_ref().as_ref();
            if !self.asked.contains(&name) {
                let near = or_nearest(name, self.asked.iter().copied());
                let sentence = format!("{} has no field {name:?}{near}", self.what);
                found.error(Code::UnknownField, key.span(), sentence);
            }
        }
    }
}
