//! Decodes [`Settings`] from path=value pairs. The simulator sends such pairs; the nested objects of a
//! configuration file are flattened into them. Only this module maps the external names to the terms of the
//! code.

use std::collections::BTreeMap;
use std::str::FromStr;

use thiserror::Error;

use super::{DedupScope, Idempotency, RequestClass, Settings, SlowStart};
use crate::ids::{Ticks, ZoneId};

/// States why settings cannot be decoded. Each text is a complete clause that names the setting first.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("{0} is missing")]
    Missing(String),
    /// The value of a setting cannot be parsed.
    #[error("{path}: {value:?} is not valid")]
    InvalidValue {
        /// The path of the setting.
        path: String,
        /// The value of the setting.
        value: String,
    },
    /// A number is negative or not finite.
    #[error(
        "{path}: {value} is {}; expected a number of at least 0",
        if *.value < 0.0 { "negative" } else { "not finite" }
    )]
    Negative {
        /// The path of the setting.
        path: String,
        /// The value of the setting.
        value: f64,
    },
    /// A ratio is greater than 1.
    #[error("{path}: {value} is out of range; expected at most 1")]
    GreaterThanOne {
        /// The path of the setting.
        path: String,
        /// The value of the setting.
        value: f64,
    },
    /// The balancer's own zone is not one of the configured zones.
    #[error("az: {zone} is out of range; expected less than {zone_count}")]
    UnknownZone {
        /// The index of the zone.
        zone: u16,
        /// The number of configured zones.
        zone_count: usize,
    },
    /// A setting has a value that this version does not support.
    #[error("{path}: {value:?} is not a known value")]
    UnknownValue {
        /// The path of the setting.
        path: String,
        /// The value of the setting.
        value: String,
    },
    /// A line is not a path=value pair.
    #[error("line {0:?} is malformed; expected path=value")]
    MalformedLine(String),
    /// The input is not UTF-8.
    #[error("settings are not valid UTF-8")]
    NotUtf8,
}

/// The values of settings by their paths.
#[derive(Default)]
pub struct SettingsFields(BTreeMap<String, String>);

/// Decodes settings from lines of the form path=value.
///
/// # Errors
/// Returns an error if a line is malformed, or a setting is missing or invalid.
pub fn decode(bytes: &[u8]) -> Result<Settings, SettingsError> {
    let text = std::str::from_utf8(bytes).map_err(|_| SettingsError::NotUtf8)?;
    let mut fields = SettingsFields::default();
    for line in text.lines().filter(|line| !line.is_empty()) {
        let malformed = || SettingsError::MalformedLine(line.to_string());
        let (path, value) = line.split_once('=').ok_or_else(malformed)?;
        fields.insert(path, value);
    }
    fields.decode()
}

impl SettingsFields {
    /// Adds a field or replaces its value.
    pub fn insert(&mut self, path: &str, value: &str) {
        self.0.insert(path.to_string(), value.to_string());
    }

    /// Returns a duration that is given in seconds.
    ///
    /// # Errors
    /// Returns an error if the value is missing, negative or not a finite number.
    pub fn ticks(&self, path: &str) -> Result<Ticks, SettingsError> {
        self.number(path).map(Ticks::from_secs_f64)
    }

    /// Decodes the settings from the fields.
    ///
    /// # Errors
    /// Returns an error for a field that is missing or invalid.
    pub fn decode(&self) -> Result<Settings, SettingsError> {
        let class_count: usize = self.value("categories.count")?;
        let tenant_count = self.length("projects.count")?;
        let discovery_polled = self.discovery_polled()?;
        let classes: Result<Vec<RequestClass>, SettingsError> =
            (0..class_count).map(|index| self.class(index)).collect();
        let quota = |index: usize| self.number(&format!("projects.{index}.quota_per_s"));
        let tenant_quotas: Result<Vec<f64>, SettingsError> = (0..tenant_count).map(quota).collect();
        Ok(Settings {
            classes: classes?,
            tenant_quotas: tenant_quotas?,
            balancer_count: self.value("n_instances")?,
            balancer_index: self.value("ordinal")?,
            over_quota_factor: if tenant_count > 0 { self.number("overage_benefit")? } else { 1.0 },
            max_attempts: self.value("limits.max_pushes")?,
            hedging_enabled: self.value("limits.second_copies")?,
            cancellation_enabled: self.value("limits.cancelling")?,
            connect_timeout: self.ticks("limits.connect_timeout")?,
            max_retry_after: self.max_retry_after()?,
            load_report_field: self.load_report_field()?,
            connections_free: self.is_free("prices.connection")? && self.is_free("prices.handshake")?,
            probe_cost_ratio: self.ratio_or_zero("prices.probe")?,
            zone: self.zone()?,
            discovery_polled,
            only_draining_is_binding: self.only_draining_is_binding()?,
            max_poll_interval: self.ticks("obligations.ask_within")?,
            slow_start: self.slow_start()?,
        })
    }

    fn discovery_polled(&self) -> Result<bool, SettingsError> {
        match self.text("discovery")? {
            "on_request" => Ok(true),
            "pushed" => Ok(false),
            other => Err(unknown_value("discovery", other)),
        }
    }

    fn max_retry_after(&self) -> Result<Option<Ticks>, SettingsError> {
        let clients_follow: bool = self.value("limits.retry_after")?;
        clients_follow.then(|| self.ticks("limits.max_retry_after")).transpose()
    }

    fn only_draining_is_binding(&self) -> Result<bool, SettingsError> {
        Ok(self.optional("obligations.only_draining_binds", Self::value)?.unwrap_or(false))
    }

    fn slow_start(&self) -> Result<SlowStart, SettingsError> {
        Ok(SlowStart {
            fleet_ratio: 1.0,
            initial_fraction: self.number("obligations.cold_from")?,
            warm_up_time: self.ticks("obligations.cold")?,
            overload_factor: self.number("obligations.fall_multiple")?,
            overload_window: self.ticks("obligations.fall")?,
        })
    }

    fn class(&self, index: usize) -> Result<RequestClass, SettingsError> {
        let path = |name: &str| format!("categories.{index}.{name}");
        let idempotency = self.idempotency(path)?;
        Ok(RequestClass {
            priority_weight: self.number(&path("benefit"))?,
            latency_objective: self.ticks(&path("target_latency"))?,
            objective_stretch_factor: self.optional(&path("aim_stretch"), Self::number)?.unwrap_or(0.0),
            timeout: self.ticks(&path("ttl"))?,
            late_weight_ratio: self.ratio_or_zero(&path("overdue_benefit"))?,
            idempotency,
        })
    }

    fn idempotency(&self, path: impl Fn(&str) -> String) -> Result<Idempotency, SettingsError> {
        match self.text(&path("semantics"))? {
            "pure" => Ok(Idempotency::Idempotent),
            "side_effect" => Ok(Idempotency::NonIdempotent),
            "token" => Ok(Idempotency::Deduplicated {
                scope: self.dedup_scope(&path("dedup_scope"))?,
                window: self.ticks(&path("window"))?,
            }),
            other => Err(unknown_value(&path("semantics"), other)),
        }
    }

    fn dedup_scope(&self, path: &str) -> Result<DedupScope, SettingsError> {
        match self.text(path)? {
            "all" => Ok(DedupScope::All),
            "zone" => Ok(DedupScope::Zone),
            "cell" => Ok(DedupScope::Cell),
            other => Err(unknown_value(path, other)),
        }
    }

    /// Returns the index of the load among the values of a report, if endpoints report their load only to
    /// probes.
    fn load_report_field(&self) -> Result<Option<usize>, SettingsError> {
        match self.optional("report.source", Self::text)?.unwrap_or("none") {
            "probe" => {}
            "answers" | "none" => return Ok(None),
            other => return Err(unknown_value("report.source", other)),
        }
        if !self.value::<bool>("limits.probes")? {
            return Ok(None);
        }
        let fields = self.list("report.fields")?;
        Ok(fields.iter().position(|field| field == "active"))
    }

    fn zone(&self) -> Result<Option<ZoneId>, SettingsError> {
        let Some(zone) = self.optional("az", Self::value::<u16>)? else { return Ok(None) };
        let zone_count = self.list("dcs")?.len();
        if usize::from(zone) >= zone_count {
            return Err(SettingsError::UnknownZone { zone, zone_count });
        }
        Ok(Some(ZoneId(zone)))
    }

    fn text(&self, path: &str) -> Result<&str, SettingsError> {
        let text = self.0.get(path).map(String::as_str);
        text.ok_or_else(|| SettingsError::Missing(path.to_string()))
    }

    fn value<T: FromStr>(&self, path: &str) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        text.parse()
            .map_err(|_| SettingsError::InvalidValue { path: path.to_string(), value: text.to_string() })
    }

    /// Returns a finite number of at least 0.
    fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let value: f64 = self.value(path)?;
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        Err(SettingsError::Negative { path: path.to_string(), value })
    }

    /// Returns `None` if the field is missing. A value that is present must be valid.
    fn optional<'a, T>(
        &'a self,
        path: &str,
        read: impl Fn(&'a Self, &str) -> Result<T, SettingsError>,
    ) -> Result<Option<T>, SettingsError> {
        self.0.contains_key(path).then(|| read(self, path)).transpose()
    }

    fn length(&self, path: &str) -> Result<usize, SettingsError> {
        Ok(self.optional(path, Self::value)?.unwrap_or(0))
    }

    /// Returns a list, either from one value with commas between the items, or from one field per item in a
    /// flattened configuration.
    fn list(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        if let Some(text) = self.0.get(path) {
            return Ok(text.split(',').filter(|item| !item.is_empty()).map(str::to_string).collect());
        }
        let length: usize = self.value(&format!("{path}.count"))?;
        (0..length).map(|index| self.text(&format!("{path}.{index}")).map(str::to_string)).collect()
    }

    /// Returns a number of at most 1, or zero if the field is missing.
    fn ratio_or_zero(&self, path: &str) -> Result<f64, SettingsError> {
        let value = self.optional(path, Self::number)?.unwrap_or(0.0);
        if value <= 1.0 {
            return Ok(value);
        }
        Err(SettingsError::GreaterThanOne { path: path.to_string(), value })
    }

    /// Returns whether the price is stated as zero. A missing price counts as not free.
    fn is_free(&self, path: &str) -> Result<bool, SettingsError> {
        Ok(self.optional(path, Self::number)? == Some(0.0))
    }
}

fn unknown_value(path: &str, value: &str) -> SettingsError {
    SettingsError::UnknownValue { path: path.to_string(), value: value.to_string() }
}
