//! The status that a server reports in ParameterStatus messages during a response: its role, log position and
//! load report.

use super::milliseconds;
use pooler_routing::{LoadReportField, ResponseMetadata, Role, Timestamp};

/// The parameter with the server's role.
const ROLE_PARAMETER: &str = "part";
const ROLE_PRIMARY: &str = "master";
const ROLE_REPLICA: &str = "replica";
/// The parameter with the server's log position, a Unix time in milliseconds.
const LOG_POSITION_PARAMETER: &str = "caught_up_to";
/// The parameter with the server's load report.
const LOAD_REPORT_PARAMETER: &str = "gauges";

/// The exclusive upper limit of plausible log positions in a parameter, a Unix time in milliseconds.
const MAX_LOG_POSITION_MILLIS: f64 = 1e14;
/// The exclusive upper limit of plausible log positions in a load report, a Unix time in seconds.
const MAX_LOG_POSITION_SECONDS: f64 = 1e11;

/// The status of a server as reported during a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerStatus {
    role: Option<Role>,
    log_position: Option<Timestamp>,
    /// The unparsed load report.
    load_report: Option<String>,
}

impl ServerStatus {
    /// Records one parameter; unknown parameters are ignored.
    pub fn set_parameter(&mut self, name: &str, value: &str) {
        match (name, value) {
            (ROLE_PARAMETER, ROLE_PRIMARY) => self.role = Some(Role::Primary),
            (ROLE_PARAMETER, ROLE_REPLICA) => self.role = Some(Role::Replica),
            (LOG_POSITION_PARAMETER, value) => self.log_position = parse_log_position(value),
            (LOAD_REPORT_PARAMETER, value) => self.load_report = Some(value.to_owned()),
            _ => {}
        }
    }

    /// The response metadata for the router; `None` if the server reported neither its role nor its log
    /// position.
    #[must_use]
    pub fn response_metadata(&self) -> Option<ResponseMetadata> {
        if self.role.is_none() && self.log_position.is_none() {
            return None;
        }
        Some(ResponseMetadata { role: self.role, position: self.log_position })
    }

    /// The values of the load report, in the order of `fields`; `None` without a valid report.
    #[must_use]
    pub fn load_report(&self, fields: &[(String, LoadReportField)]) -> Option<Vec<f64>> {
        parse_load_report(self.load_report.as_deref()?, fields)
    }
}

/// Parses a log position, a Unix time in milliseconds; `None` if it is implausible.
fn parse_log_position(value: &str) -> Option<Timestamp> {
    let millis: f64 = value.parse().ok()?;
    let is_plausible = (0.0..MAX_LOG_POSITION_MILLIS).contains(&millis);
    is_plausible.then(|| milliseconds::to_timestamp(millis))
}

/// Parses a load report such as `inflight=7,util=0.61` into its values in the order of `fields`. Returns
/// `None` if any field is missing, repeated or has an invalid value.
#[must_use]
pub fn parse_load_report(report: &str, fields: &[(String, LoadReportField)]) -> Option<Vec<f64>> {
    let pairs: Option<Vec<_>> = report.split(',').map(|pair| pair.trim().split_once('=')).collect();
    let pairs = pairs?;
    let values: Option<Vec<f64>> =
        fields.iter().map(|(name, field)| field_value(&pairs, name, *field)).collect();
    values.filter(|values| !values.is_empty())
}

/// The value of the field called `name`; `None` if the field is missing, repeated or has an invalid value.
fn field_value(pairs: &[(&str, &str)], name: &str, field: LoadReportField) -> Option<f64> {
    let mut matching = pairs.iter().filter(|(key, _)| key.trim() == name);
    let (_, text) = matching.next()?;
    if matching.next().is_some() {
        return None;
    }
    let value: f64 = text.trim().parse().ok()?;
    let is_valid = match field {
        LoadReportField::Position => value < MAX_LOG_POSITION_SECONDS,
        LoadReportField::Primary => value == 0.0 || value == 1.0,
        LoadReportField::Other => true,
    };
    (is_valid && value.is_finite() && value >= 0.0).then_some(value)
}
