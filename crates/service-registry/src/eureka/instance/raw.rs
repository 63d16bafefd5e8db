//! The wire form of an instance: JSON written by Jackson, or XML written by XStream. Both write numbers as
//! strings, ports as objects and lists of one element as plain objects, so all values are read leniently and
//! checked afterwards.

use super::{ActionType, Instance, InstanceStatus, InvalidField};
use serde::Deserialize;
use serde::de::{self, MapAccess, Visitor};
use std::collections::BTreeMap;
use std::fmt;

/// The maximum length of an instance id.
const MAX_ID_BYTES: usize = 256;
/// The maximum number of characters of an instance's text that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// A scalar value as text, written either by itself or in an object beside attributes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Scalar {
    text: String,
    /// The attribute `enabled` of a port.
    enabled: Option<bool>,
}

impl Scalar {
    fn from_text(text: impl ToString) -> Self {
        Self { text: text.to_string(), enabled: None }
    }
}

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a scalar value")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Scalar, E> {
        Ok(Scalar::from_text(text))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Scalar, E> {
        Ok(Scalar::from_text(number))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Scalar, E> {
        Ok(Scalar::from_text(number))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Scalar, E> {
        Ok(Scalar::from_text(number))
    }

    fn visit_bool<E: de::Error>(self, flag: bool) -> Result<Scalar, E> {
        Ok(Scalar::from_text(flag))
    }

    fn visit_unit<E: de::Error>(self) -> Result<Scalar, E> {
        Ok(Scalar::default())
    }

    fn visit_none<E: de::Error>(self) -> Result<Scalar, E> {
        Ok(Scalar::default())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Scalar, A::Error> {
        let mut scalar = Scalar::default();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "$" | "$text" => scalar.text = map.next_value::<Scalar>()?.text,
                "@enabled" => scalar.enabled = Some(map.next_value::<Scalar>()?.text == "true"),
                _ => drop(map.next_value::<de::IgnoredAny>()?),
            }
        }
        Ok(scalar)
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawLease {
    registration_timestamp: Scalar,
}

/// The fields of an instance that are read; all others are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RawInstance {
    #[serde(default)]
    instance_id: Scalar,
    #[serde(default)]
    app: Scalar,
    #[serde(default)]
    ip_addr: Scalar,
    #[serde(default)]
    host_name: Scalar,
    #[serde(default)]
    port: Scalar,
    #[serde(default)]
    secure_port: Scalar,
    #[serde(default)]
    vip_address: Scalar,
    #[serde(default)]
    status: Scalar,
    #[serde(default, alias = "overriddenStatus")]
    overriddenstatus: Scalar,
    #[serde(default)]
    last_dirty_timestamp: Scalar,
    #[serde(default)]
    last_updated_timestamp: Scalar,
    #[serde(default)]
    lease_info: RawLease,
    #[serde(default)]
    action_type: Scalar,
    #[serde(default)]
    metadata: BTreeMap<String, Scalar>,
}

impl RawInstance {
    pub(super) fn into_instance(self) -> Result<Instance, InvalidField> {
        let id = self.id()?;
        let fields = FieldReader { id: &id };
        let action = fields.action("actionType", &self.action_type)?;
        let port = fields.port("port", &self.port)?;
        let secure_port = fields.port("securePort", &self.secure_port)?;
        let last_dirty_ms = fields.number("lastDirtyTimestamp", &self.last_dirty_timestamp)?;
        let last_updated_ms = fields.number("lastUpdatedTimestamp", &self.last_updated_timestamp)?;
        let lease_started_ms =
            fields.number("registrationTimestamp", &self.lease_info.registration_timestamp)?;
        // Keys that start with '@' are attributes, not metadata.
        let metadata = self.metadata.into_iter().filter(|(key, _)| !key.starts_with('@'));
        Ok(Instance {
            port,
            secure_port,
            last_dirty_ms,
            last_updated_ms,
            lease_started_ms,
            status: InstanceStatus::from_name(&self.status.text),
            overridden_status: InstanceStatus::from_name(&self.overriddenstatus.text),
            app: self.app.text,
            ip_address: self.ip_addr.text,
            host_name: self.host_name.text,
            vip_address: self.vip_address.text,
            metadata: metadata.map(|(key, value)| (key, value.text)).collect(),
            action,
            id,
        })
    }

    fn id(&self) -> Result<String, InvalidField> {
        let source = if self.instance_id.text.is_empty() { &self.host_name } else { &self.instance_id };
        let id = &source.text;
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            return Err(FieldReader { id }.invalid("instanceId", id));
        }
        Ok(id.clone())
    }
}

/// Parses the fields of the instance with this id, which is named in errors.
struct FieldReader<'i> {
    id: &'i str,
}

impl FieldReader<'_> {
    fn invalid(&self, field: &'static str, value: &str) -> InvalidField {
        let quote = |text: &str| text.chars().take(MAX_QUOTED_CHARS).collect();
        InvalidField { id: quote(self.id), field, value: quote(value) }
    }

    /// Parses a number; a missing one counts as 0.
    fn number(&self, field: &'static str, scalar: &Scalar) -> Result<i64, InvalidField> {
        match scalar.text.trim() {
            "" => Ok(0),
            text => text.parse().map_err(|_| self.invalid(field, text)),
        }
    }

    /// Parses a port; `None` if the port is missing, 0 or disabled.
    fn port(&self, field: &'static str, scalar: &Scalar) -> Result<Option<u16>, InvalidField> {
        let text = scalar.text.trim();
        if text.is_empty() {
            return Ok(None);
        }
        let port: u16 = text.parse().map_err(|_| self.invalid(field, text))?;
        let is_enabled = scalar.enabled != Some(false);
        Ok((port != 0 && is_enabled).then_some(port))
    }

    /// Parses an action type; a missing one counts as [`ActionType::Added`].
    fn action(&self, field: &'static str, scalar: &Scalar) -> Result<ActionType, InvalidField> {
        match scalar.text.as_str() {
            "" | "ADDED" => Ok(ActionType::Added),
            "MODIFIED" => Ok(ActionType::Modified),
            "DELETED" => Ok(ActionType::Deleted),
            other => Err(self.invalid(field, other)),
        }
    }
}
