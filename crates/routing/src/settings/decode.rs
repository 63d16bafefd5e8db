//! Decoding of settings for both hosts. The simulator sends settings as key=value pairs; the pooler's
//! configuration contains the same object as nested JSON, which is flattened to key=value pairs first.
//!
//! The keys and words are those of the protocol. Only this module maps them to the terms of this crate.

use super::{
    Consistency, Discovery, Idempotency, LoadReportField, ObjectiveWeights, Operation, RequestClass,
    SessionTokenSource, Settings, SettingsError, StaleReadPolicy, Tenant,
};
use crate::{TimeDelta, Timestamp};
use serde_json::Value;
use std::collections::BTreeMap;

/// The largest number that a setting may have. As a time in milliseconds, it is over 30,000 years.
const MAX_NUMBER: f64 = 1e15;

type Result<T> = std::result::Result<T, SettingsError>;

/// Converts milliseconds to a time difference, rounded to the nearest microsecond.
#[must_use]
pub fn duration_from_millis(milliseconds: f64) -> TimeDelta {
    TimeDelta((milliseconds * 1_000.0).round() as i64)
}

/// Settings as key=value pairs. A key is the dot-separated path to its value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsMap(BTreeMap<String, String>);

impl SettingsMap {
    /// Collects the key=value pairs among `words`. Words without an equals sign are ignored.
    pub fn from_words<'a>(words: impl Iterator<Item = &'a str>) -> Self {
        let pairs = words.filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect())
    }

    /// Flattens nested JSON. The items of an array of scalars are joined with commas. An array of objects is
    /// stored as its length, under the key `count`, and the fields of each object under its index.
    #[must_use]
    pub fn from_json(value: &Value) -> Self {
        let mut map = Self::default();
        map.flatten("", value);
        map
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let child_path =
            |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(&child_path(name), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(child_path("count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.flatten(&child_path(&index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(scalar_text).collect();
                self.0.insert(path.to_owned(), items.join(","));
            }
            _ => {
                self.0.insert(path.to_owned(), scalar_text(value));
            }
        }
    }

    /// Decodes the router's settings.
    ///
    /// # Errors
    ///
    /// If a value is missing or invalid.
    pub fn settings(&self) -> Result<Settings> {
        Ok(Settings {
            classes: self.classes()?,
            tenants: self.tenants()?,
            router_count: self.non_negative_number("FleetSize")?.max(1.0) as u32,
            zone: self.text("Zone")?.to_owned(),
            discovery: self.discovery()?,
            stale_read_policy: self.stale_read_policy()?,
            session_token_source: self.session_token_source()?,
            position_epoch: Timestamp(duration_from_millis(self.number("FamilyInfo.Zero")?).0),
            load_report_fields: self.load_report_fields(),
            max_attempts: self.non_negative_number("Limits.SendCap")? as u32,
            hedging_allowed: self.boolean("Limits.MayDuplicate")?,
            health_checks_allowed: self.boolean("Limits.Probing")?,
            health_check_cost: self.non_negative_number_or("Costs.Probe", 0.0)?.max(0.0),
            cancellation_allowed: self.boolean("Limits.Cancel")?,
            retry_after_allowed: self.boolean("Limits.RetryAfter")?,
            max_retry_after: duration_from_millis(self.non_negative_number_or("Limits.MaxRetryAfter", 0.0)?),
            drain_grace: self.duration("Rules.DrainGrace")?,
            soft_removal: self.boolean("Rules.SoftRemoval").unwrap_or(false),
            slow_start_floor: self.non_negative_number("Rules.ColdFrom")?,
            slow_start_window: self.duration("Rules.Cold")?,
            overload_multiple: self.non_negative_number("Rules.FallMultiple")?,
            overload_window: self.duration("Rules.Fall")?,
            over_quota_weight: self.non_negative_number_or("OverShareWorth", 1.0)?,
            objective_weights: ObjectiveWeights {
                overall: self.non_negative_number_or("ObjectiveMix.Whole", 0.0)?,
                worst_class: self.non_negative_number_or("ObjectiveMix.WorstClass", 0.0)?,
            },
        })
    }

    /// Returns the text of the setting `key`.
    ///
    /// # Errors
    ///
    /// If the setting is missing.
    pub fn text(&self, key: &str) -> Result<&str> {
        self.0.get(key).map(String::as_str).ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    /// Returns the number of the setting `key`.
    ///
    /// # Errors
    ///
    /// If the setting is missing, or its value is not a finite number.
    pub fn number(&self, key: &str) -> Result<f64> {
        let text = self.text(key)?;
        let value: f64 = text
            .parse()
            .map_err(|_| SettingsError::NotANumber { key: key.to_owned(), text: text.to_owned() })?;
        if value.is_finite() { Ok(value) } else { Err(SettingsError::NotFinite(key.to_owned())) }
    }

    /// Returns the number of the setting `key`, which must be between 0 and 10^15.
    ///
    /// # Errors
    ///
    /// If the setting is missing, or its value is not a number in this range.
    pub fn non_negative_number(&self, key: &str) -> Result<f64> {
        let value = self.number(key)?;
        if (0.0..=MAX_NUMBER).contains(&value) {
            return Ok(value);
        }
        Err(SettingsError::OutOfRange { key: key.to_owned(), value: value.to_string() })
    }

    /// Returns the same as [`non_negative_number`](Self::non_negative_number), or `default` if the setting
    /// is missing.
    ///
    /// # Errors
    ///
    /// If the setting is present, and its value is not a number between 0 and 10^15.
    pub fn non_negative_number_or(&self, key: &str, default: f64) -> Result<f64> {
        if self.0.contains_key(key) { self.non_negative_number(key) } else { Ok(default) }
    }

    fn duration(&self, key: &str) -> Result<TimeDelta> {
        self.non_negative_number(key).map(duration_from_millis)
    }

    fn boolean(&self, key: &str) -> Result<bool> {
        match self.text(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(SettingsError::NotABoolean { key: key.to_owned(), text: other.to_owned() }),
        }
    }

    fn classes(&self) -> Result<Vec<RequestClass>> {
        let operations: Vec<&str> = self.text("FamilyInfo.NeedsByClass")?.split(',').collect();
        let bounds: Vec<&str> = self.text("FamilyInfo.OldestData")?.split(',').collect();
        let mut classes: Vec<RequestClass> = Vec::new();
        for index in 0..self.non_negative_number("Lanes.count")? as usize {
            let word =
                *operations.get(index).ok_or(SettingsError::ListTooShort("FamilyInfo.NeedsByClass"))?;
            let operation = operation(word, bounds.get(index).copied())?;
            let class = self.class(index, operation)?;
            if classes.iter().any(|other| other.name == class.name) {
                return Err(SettingsError::DuplicateClass(class.name));
            }
            classes.push(class);
        }
        Ok(classes)
    }

    fn class(&self, index: usize, operation: Operation) -> Result<RequestClass> {
        let key = |name: &str| format!("Lanes.{index}.{name}");
        Ok(RequestClass {
            idempotency: self.idempotency(&key("Effect"))?,
            name: self.text(&key("Name"))?.to_owned(),
            operation,
            latency_objective: self.duration(&key("Objective"))?,
            objective_work_multiple: self.non_negative_number_or(&key("AimStretch"), 0.0)?,
            priority_weight: self.non_negative_number(&key("Worth"))?,
            late_weight: self.non_negative_number(&key("LateValue"))?,
        })
    }

    fn idempotency(&self, key: &str) -> Result<Idempotency> {
        Ok(match self.text(key)? {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::Keyed,
            "fragile" => Idempotency::NonIdempotent,
            other => return Err(unknown_word(key, other)),
        })
    }

    fn tenants(&self) -> Result<Vec<Tenant>> {
        let count = self.non_negative_number_or("Tenants.count", 0.0)? as usize;
        let tenant = |index| {
            Ok(Tenant {
                name: self.text(&format!("Tenants.{index}.Name"))?.to_owned(),
                quota: self.non_negative_number(&format!("Tenants.{index}.QuotaRps"))?,
            })
        };
        (0..count).map(tenant).collect()
    }

    fn discovery(&self) -> Result<Discovery> {
        Ok(match self.text("Discovery")? {
            "push" => Discovery::Push,
            "ask" => Discovery::Poll,
            other => return Err(unknown_word("Discovery", other)),
        })
    }

    fn stale_read_policy(&self) -> Result<StaleReadPolicy> {
        let key = "FamilyInfo.WhenBehind";
        Ok(match self.text(key)? {
            "none" => StaleReadPolicy::Serve,
            "bounce" | "await" => StaleReadPolicy::Reject,
            other => return Err(unknown_word(key, other)),
        })
    }

    fn session_token_source(&self) -> Result<SessionTokenSource> {
        let key = "FamilyInfo.SessionMarks";
        Ok(match self.text(key)? {
            "brought" => SessionTokenSource::Request,
            "kept" => SessionTokenSource::Router,
            other => return Err(unknown_word(key, other)),
        })
    }

    fn load_report_fields(&self) -> Vec<LoadReportField> {
        let names = self.text("Report.Fields").unwrap_or("").split(',');
        names.map(LoadReportField::from_name).collect()
    }
}

/// Decodes the operation of a class from its word in the protocol and its staleness bound in milliseconds.
fn operation(word: &str, staleness_bound: Option<&str>) -> Result<Operation> {
    Ok(Operation::Read(match word {
        "mutate" => return Ok(Operation::Write),
        "eventual" => Consistency::Eventual,
        "causal" => Consistency::ReadYourWrites,
        "strong" => Consistency::Strong,
        "lag_bound" => {
            let bound = staleness_bound.and_then(|text| text.parse().ok());
            let bound = bound.ok_or(SettingsError::InvalidStalenessBound("FamilyInfo.OldestData"))?;
            Consistency::BoundedStaleness(duration_from_millis(bound))
        }
        other => return Err(unknown_word("FamilyInfo.NeedsByClass", other)),
    }))
}

fn unknown_word(key: &str, word: &str) -> SettingsError {
    SettingsError::UnknownWord { key: key.to_owned(), text: word.to_owned() }
}

/// Converts a scalar JSON value to the text of a setting. Spaces and commas, which separate pairs and list
/// items, become underscores.
fn scalar_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), |text| text.replace([' ', ','], "_"))
}
