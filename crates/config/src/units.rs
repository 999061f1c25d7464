//! Parses durations, sizes and key slots. A duration or a size without a unit is an error, since no unit is
//! assumed.

use std::time::Duration;

use thiserror::Error;

const HEX_DIGITS_PER_SLOT: usize = 16;

/// Says why a text is not a duration, size or key slot. Each variant holds the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// A duration has no unit, or an unknown one.
    #[error("{0:?} is not a duration in ms, s or m, such as \"600ms\", \"1.5s\" or \"2m\"")]
    MissingTimeUnit(String),
    /// The text before the unit of a duration is not a number.
    #[error("{0:?} has no valid number before the unit")]
    NotANumber(String),
    /// The duration is too long to be represented.
    #[error("{0:?} is too long a duration")]
    TimeTooLong(String),
    /// A size has no unit, or an unknown one.
    #[error("{0:?} is not a size in B, KiB, MiB or GiB, such as \"512B\", \"64KiB\" or \"1MiB\"")]
    MissingSizeUnit(String),
    /// The text before the unit of a size is not a whole number.
    #[error("{0:?} has no whole number before the unit")]
    NotAWholeNumber(String),
    /// The size is too large to be represented.
    #[error("{0:?} is too large a size")]
    SizeTooLarge(String),
    /// A key slot has too few or too many digits, or a digit that is not hexadecimal.
    #[error("{0:?} is not a key slot; expected 1 to 16 hexadecimal digits, the leading ones of the slot")]
    KeySlotDigits(String),
}

/// Says which end of a range a key slot is, which decides how missing digits are padded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeEnd {
    /// The first slot is padded with 0.
    First,
    /// The last slot is inclusive and padded with f.
    Last,
}

struct Quantity<'a> {
    number: &'a str,
    unit: &'a str,
}

fn split_unit(text: &str) -> Quantity<'_> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    Quantity { number: &text[..end], unit: &text[end..] }
}

/// Parses a duration such as "600ms", "1.5s" or "2m".
///
/// # Errors
/// Returns an error if the unit is missing, or the number is invalid or too large.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    let Quantity { number, unit } = split_unit(text);
    let seconds_per_unit = match unit {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(UnitError::MissingTimeUnit(text.to_string())),
    };
    let number: f64 = number.parse().map_err(|_| UnitError::NotANumber(text.to_string()))?;
    Duration::try_from_secs_f64(number * seconds_per_unit)
        .map_err(|_| UnitError::TimeTooLong(text.to_string()))
}

/// Parses a size in bytes such as "512B", "64KiB" or "1MiB".
///
/// # Errors
/// Returns an error if the unit is missing, or the number is not whole or too large.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    let Quantity { number, unit } = split_unit(text);
    let bytes_per_unit = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return Err(UnitError::MissingSizeUnit(text.to_string())),
    };
    let number: u64 = number.parse().map_err(|_| UnitError::NotAWholeNumber(text.to_string()))?;
    number.checked_mul(bytes_per_unit).ok_or_else(|| UnitError::SizeTooLarge(text.to_string()))
}

/// Parses one end of a range of key slots from its leading hexadecimal digits.
///
/// # Errors
/// Returns an error unless there are 1 to 16 hexadecimal digits.
pub fn parse_key_slot(text: &str, end: RangeEnd) -> Result<u64, UnitError> {
    let invalid = || UnitError::KeySlotDigits(text.to_string());
    let digits = text.trim_start_matches("0x");
    let has_valid_length = (1..=HEX_DIGITS_PER_SLOT).contains(&digits.len());
    if !has_valid_length || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(invalid());
    }
    let padding = match end {
        RangeEnd::First => "0",
        RangeEnd::Last => "f",
    };
    let padded = format!("{digits}{}", padding.repeat(HEX_DIGITS_PER_SLOT - digits.len()));
    u64::from_str_radix(&padded, 16).map_err(|_| invalid())
}
