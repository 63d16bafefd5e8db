//! Decodes load reports of endpoints.

use crate::{LoadReportField, Role, Settings, TimeDelta, Timestamp};

/// The values of a load report that routing decisions use. Other values are ignored.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    /// The position up to which the endpoint has applied the log; `None` if the report has no such value.
    pub(super) position: Option<Timestamp>,
    /// The role that the endpoint reports; `None` if the report has no such value.
    pub(super) role: Option<Role>,
}

impl LoadReport {
    /// Decodes `values`, listed in the order of [`Settings::load_report_fields`]. Values that are missing or
    /// not finite become `None`. A position is in seconds since [`Settings::position_epoch`]; a role
    /// of 0.5 or more is a primary.
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
