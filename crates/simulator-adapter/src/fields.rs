//! Parsing of the space-separated fields of one line, in order.

use crate::error::LineError;
use pooler_routing::settings::duration_from_millis;
use pooler_routing::{EndpointId, TimeDelta, Timestamp};
use std::str::{FromStr, Split};
use std::sync::Arc;

/// The placeholder in the protocol for an absent value.
const ABSENT: &str = "-";

/// The fields of one line that have not been read yet, separated by single spaces.
pub(crate) struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        Self(line.split(' '))
    }

    /// Returns all fields that have not been read yet.
    pub(crate) fn remaining(self) -> impl Iterator<Item = &'a str> {
        self.0
    }

    pub(crate) fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.0.next().ok_or(LineError::MissingField(field))
    }

    /// Reads and discards a field that the router does not use.
    pub(crate) fn skip(&mut self, field: &'static str) -> Result<(), LineError> {
        self.text(field).map(drop)
    }

    pub(crate) fn integer(&mut self, field: &'static str) -> Result<u64, LineError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| LineError::NotAnInteger { field, text: text.to_owned() })
    }

    pub(crate) fn number(&mut self, field: &'static str) -> Result<f64, LineError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| LineError::NotANumber { field, text: text.to_owned() })
    }

    pub(crate) fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, LineError> {
        let text = self.text(field)?;
        if text == ABSENT {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| LineError::NotANumber { field, text: text.to_owned() })
    }

    /// Reads a duration, which the protocol gives in milliseconds.
    pub(crate) fn duration(&mut self, field: &'static str) -> Result<TimeDelta, LineError> {
        Ok(duration_from_millis(self.number(field)?))
    }

    /// Reads a time, which the protocol gives in milliseconds after the start of the simulation.
    pub(crate) fn timestamp(&mut self, field: &'static str) -> Result<Timestamp, LineError> {
        Ok(Timestamp(self.duration(field)?.0))
    }

    pub(crate) fn endpoint(&mut self) -> Result<EndpointId, LineError> {
        let field = "Database";
        let text = self.text(field)?;
        if text.is_empty() {
            return Err(LineError::EmptyField(field));
        }
        Ok(EndpointId(Arc::from(text)))
    }

    pub(crate) fn load_report(&mut self) -> Result<Option<Vec<f64>>, LineError> {
        let field = "Stats";
        let text = self.text(field)?;
        if text == ABSENT {
            return Ok(None);
        }
        let values: Result<_, _> = text.split(',').map(str::parse).collect();
        values.map(Some).map_err(|_| LineError::NotNumbers { field, text: text.to_owned() })
    }
}
