//! Decoding of the messages for a running instance into router events. This module maps the fields and words
//! of the simulator's protocol to the router's terms.

use crate::error::LineError;
use crate::fields::Fields;
use crate::instance::Instance;
use pooler_routing::settings::duration_from_millis;
use pooler_routing::{
    AttemptCompletion, AttemptNumber, AttemptOutcome, EndpointEntry, EndpointUpdate, Event, GroupId,
    Lifecycle, Request, RequestId, ResponseMetadata, Role, SessionKey, TimeDelta, Timestamp,
};
use std::collections::HashMap;

/// The bit of `Attrs` that is set if `Cost` is valid.
const COST_IS_VALID: u64 = 1;
/// The divisor that splits a `Mark`: the quotient is the position in milliseconds, the remainder the role.
const MARK_POSITION_UNIT: u64 = 4;
/// The largest position in a `Mark`, in milliseconds.
const MAX_MARK_POSITION_MS: u64 = 1 << 50;

/// The endpoint lists that the simulator has sent, by the number of their `Buffer`.
pub(crate) type EndpointLists = HashMap<u64, Vec<EndpointEntry>>;

/// Decodes the event that a message reports; `None` for a message from a peer, which the router does not use.
pub(crate) fn event(
    message: &str,
    fields: &mut Fields<'_>,
    instance: &Instance,
    lists: &EndpointLists,
) -> Result<Option<Event>, LineError> {
    Ok(Some(match message {
        "directory_update" => Event::EndpointUpdate(endpoint_update(fields, lists)?),
        "new_request" => Event::Request(request(fields, instance)?),
        "vanished" => Event::RequestAbandoned(request_id(fields)?),
        "tick_due" => Event::TimerFired,
        "accepted" => Event::ResponseStarted(request_id(fields)?),
        "response" => Event::AttemptCompleted(attempt_completion(fields, instance)?),
        "pong" => Event::HealthCheckCompleted {
            endpoint: fields.endpoint()?,
            outcome: outcome(fields.text("Verdict")?)?,
            elapsed: fields.duration("TimeTaken")?,
            load_report: fields.load_report()?,
        },
        "memo" => return Ok(None),
        other => return Err(unknown_word("message", other)),
    }))
}

/// Decodes one entry of an endpoint list.
pub(crate) fn endpoint_entry(fields: &mut Fields<'_>) -> Result<EndpointEntry, LineError> {
    let endpoint = fields.endpoint()?;
    let zone = fields.text("Hall")?.to_owned();
    fields.skip("Kind")?;
    let primary = fields.optional::<f64>("Head")?.is_some_and(|head| head > 0.0);
    let group = GroupId(fields.number("Group")? as i64);
    let lifecycle = lifecycle(fields.text("StageState")?)?;
    fields.skip("PowerHint")?;
    let started_at_ms: Option<f64> = fields.optional("OnlineSince")?;
    let started_at = started_at_ms.filter(|ms| *ms > 0.0).map(|ms| Timestamp(duration_from_millis(ms).0));
    Ok(EndpointEntry { endpoint, group, lifecycle, primary, started_at, zone })
}

fn endpoint_update(fields: &mut Fields<'_>, lists: &EndpointLists) -> Result<EndpointUpdate, LineError> {
    let scope = fields.text("Scope")?;
    fields.skip("Rev")?;
    let field = "Buffer";
    let buffer = fields.text(field)?;
    if scope == "error" {
        return Ok(EndpointUpdate::PollFailed);
    }
    let number: u64 = buffer.parse().map_err(|_| LineError::NotANumber { field, text: buffer.to_owned() })?;
    let entries = lists.get(&number).ok_or(LineError::UnknownList(number))?.clone();
    match scope {
        "diff" => Ok(EndpointUpdate::Delta(entries)),
        "snapshot" | "disk" => Ok(EndpointUpdate::Snapshot(entries)),
        other => Err(unknown_word("Scope", other)),
    }
}

fn request(fields: &mut Fields<'_>, instance: &Instance) -> Result<Request, LineError> {
    let id = request_id(fields)?;
    let class_name = fields.text("Lane")?;
    let class = instance.class(class_name).ok_or_else(|| unknown_word("Lane", class_name))?;
    let tenant = instance.tenant(fields.text("Owner")?);
    let session = fields.optional("ClientKey")?.map(SessionKey);
    let time_remaining = fields.duration("Left")?;
    let cost_ms: Option<f64> = fields.optional("Cost")?;
    let group = GroupId(fields.number("PartitionNo")? as i64);
    let last_write_ms: Option<f64> = fields.optional("LastWriteMs")?;
    let attributes: u64 = fields.optional("Attrs")?.unwrap_or(0);
    Ok(Request {
        id,
        class,
        tenant,
        session,
        time_remaining,
        group,
        since_last_write: last_write_ms.filter(|ms| *ms > 0.0).map(duration_from_millis),
        expected_work: cost_ms.filter(|_| attributes & COST_IS_VALID != 0).map(duration_from_millis),
    })
}

fn attempt_completion(fields: &mut Fields<'_>, instance: &Instance) -> Result<AttemptCompletion, LineError> {
    let request = request_id(fields)?;
    let attempt = AttemptNumber(fields.integer("Trial")? as u32);
    let elapsed = fields.duration("TimeTaken")?;
    let mark: Option<u64> = fields.optional("Mark")?;
    let outcome = outcome(fields.text("Verdict")?)?;
    let endpoint = fields.endpoint()?;
    let request_closed = fields.text("Complete")? == "1";
    let load_report = fields.load_report()?;
    let metadata =
        mark.filter(|mark| *mark > 0).map(|mark| response_metadata(mark, instance.settings.position_epoch));
    Ok(AttemptCompletion {
        request,
        attempt,
        endpoint,
        outcome,
        metadata,
        elapsed,
        request_closed,
        load_report,
    })
}

/// Decodes a `Mark`, which contains the role and, if the response reports one, the position in milliseconds
/// after the epoch.
fn response_metadata(mark: u64, position_epoch: Timestamp) -> ResponseMetadata {
    let role = match mark % MARK_POSITION_UNIT {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let position_ms = (mark / MARK_POSITION_UNIT).min(MAX_MARK_POSITION_MS) as i64;
    let position = (mark >= MARK_POSITION_UNIT).then(|| position_epoch + TimeDelta::from_millis(position_ms));
    ResponseMetadata { role, position }
}

fn request_id(fields: &mut Fields<'_>) -> Result<RequestId, LineError> {
    fields.integer("Job").map(RequestId)
}

fn outcome(word: &str) -> Result<AttemptOutcome, LineError> {
    Ok(match word {
        "completed" => AttemptOutcome::Ok,
        "errored" => AttemptOutcome::Error,
        "saturated" => AttemptOutcome::Rejected,
        "overdue" => AttemptOutcome::Timeout,
        "refused_conn" => AttemptOutcome::ConnectionRefused,
        "severed" => AttemptOutcome::ConnectionReset,
        "recalled" => AttemptOutcome::Cancelled,
        "superseded" => AttemptOutcome::NotSent,
        "lookup_miss" => AttemptOutcome::NotEligible,
        other => return Err(unknown_word("Verdict", other)),
    })
}

fn lifecycle(word: &str) -> Result<Lifecycle, LineError> {
    Ok(match word {
        "healthy" => Lifecycle::Active,
        "cordoned" => Lifecycle::Draining,
        "deregistered" => Lifecycle::Removed,
        other => return Err(unknown_word("StageState", other)),
    })
}

fn unknown_word(field: &'static str, word: &str) -> LineError {
    LineError::UnknownWord { field, word: word.to_owned() }
}
