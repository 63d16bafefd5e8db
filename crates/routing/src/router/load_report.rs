//! Decoding of load reports.

use crate::{LoadReportField, Role, Settings, TimeDelta, Timestamp};

/// The values of a load report that decisions use.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    /// The log position up to which the endpoint has applied.
    pub(super) position: Option<Timestamp>,
    /// The role of the endpoint.
    pub(super) role: Option<Role>,
}

impl LoadReport {
    /// Reads the values that are there and finite, in the order of [`Settings::load_report_fields`].
    pub(super) fn decode(settings: &Settings, values: &[f64]) -> Self {
        let value = |field| {
            let index = settings.load_report_fields.iter().position(|listed| *listed == field)?;
            values.get(index).copied().filter(|value| value.is_finite())
        };
        let position = |seconds: f64| settings.position_epoch + TimeDelta((seconds * 1e6) as i64);
        let role = |value: f64| if value >= 0.5 { Role::Primary } else { Role::Replica };
        Self {
            position: value(LoadReportField::Position).map(position),
            role: value(LoadReportField::Primary).map(role),
        }
    }
}
