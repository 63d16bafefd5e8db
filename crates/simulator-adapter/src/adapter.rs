//! The adapter between the simulator's text protocol and one [`Router`](pooler_routing::Router) per instance.
//! The adapter only translates messages and makes no routing decisions. Instances share nothing except the
//! numbered endpoint lists, which the protocol itself shares between them.

use crate::decode::{self, EndpointLists};
use crate::encode;
use crate::error::{AdapterError, LineError};
use crate::fields::Fields;
use crate::instance::Instance;
use pooler_routing::settings::SettingsMap;
use pooler_routing::{Action, Timestamp};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};

/// Reads batches from `input` and writes replies to `output` until the end of the input.
///
/// # Errors
///
/// If a line is malformed, the input ends inside a batch, or reading or writing fails.
pub(crate) fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut line_number = 0_u64;
    for line in input.lines() {
        let line = line?;
        line_number += 1;
        let reply =
            adapter.handle_line(&line).map_err(|error| AdapterError::Line { number: line_number, error })?;
        if let Some(reply) = reply {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    if adapter.is_inside_batch() {
        return Err(AdapterError::UnfinishedBatch { line_number });
    }
    Ok(())
}

/// The current batch: messages with the same time of arrival, which receive a common reply.
#[derive(Clone, Copy)]
struct Batch {
    now: Timestamp,
    number: u64,
}

/// The endpoint list that is being received.
#[derive(Default)]
struct PendingList {
    number: u64,
    remaining_entries: usize,
}

#[derive(Default)]
struct Adapter {
    instances: HashMap<u64, Instance>,
    lists: EndpointLists,
    batch: Option<Batch>,
    pending_list: PendingList,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    fn is_inside_batch(&self) -> bool {
        self.batch.is_some() || self.pending_list.remaining_entries > 0
    }

    /// Handles one line, and returns the reply to the batch if the line ends one.
    fn handle_line(&mut self, line: &str) -> Result<Option<String>, LineError> {
        let mut fields = Fields::new(line);
        let message = fields.text("message")?;
        if self.pending_list.remaining_entries > 0 && message != "m" {
            return Err(LineError::EntryExpected(message.to_owned()));
        }
        let Some(batch) = self.batch else {
            self.begin_batch(message, fields)?;
            return Ok(None);
        };
        match message {
            "commit" => return Ok(Some(self.end_batch(batch))),
            "census" => self.begin_list(fields)?,
            "m" if self.pending_list.remaining_entries > 0 => self.add_entry(fields)?,
            "start" => self.start_instance(fields)?,
            "stop" => {
                self.instances.remove(&fields.integer("ProxyId")?);
            }
            _ => self.dispatch(batch.now, message, fields)?,
        }
        Ok(None)
    }

    fn begin_batch(&mut self, message: &str, mut fields: Fields<'_>) -> Result<(), LineError> {
        match message {
            "" => {}
            "frame" => {
                let now = fields.timestamp("clock")?;
                self.batch = Some(Batch { now, number: fields.integer("batch number")? });
            }
            other => return Err(LineError::OutsideBatch(other.to_owned())),
        }
        Ok(())
    }

    fn end_batch(&mut self, batch: Batch) -> String {
        self.batch = None;
        // Writing to a string can't fail.
        let _ = writeln!(self.reply, "ack {}", batch.number);
        std::mem::take(&mut self.reply)
    }

    fn begin_list(&mut self, mut fields: Fields<'_>) -> Result<(), LineError> {
        let number = fields.integer("Buffer")?;
        let remaining_entries = fields.integer("NodesList")? as usize;
        self.pending_list = PendingList { number, remaining_entries };
        self.lists.insert(number, Vec::new());
        Ok(())
    }

    fn add_entry(&mut self, mut fields: Fields<'_>) -> Result<(), LineError> {
        let entry = decode::endpoint_entry(&mut fields)?;
        self.lists.entry(self.pending_list.number).or_default().push(entry);
        self.pending_list.remaining_entries -= 1;
        Ok(())
    }

    fn start_instance(&mut self, mut fields: Fields<'_>) -> Result<(), LineError> {
        let id = fields.integer("ProxyId")?;
        let seed = fields.integer("InitSeed")?;
        let settings = SettingsMap::from_words(fields.remaining()).settings()?;
        self.instances.insert(id, Instance::new(seed, settings));
        Ok(())
    }

    /// Reports the event of a message to its instance, and appends the resulting actions to the reply.
    fn dispatch(&mut self, now: Timestamp, message: &str, mut fields: Fields<'_>) -> Result<(), LineError> {
        let id = fields.integer("ProxyId")?;
        let instance = self.instances.get_mut(&id).ok_or(LineError::UnknownInstance(id))?;
        let Some(event) = decode::event(message, &mut fields, instance, &self.lists)? else {
            return Ok(());
        };
        instance.router.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            encode::action(&mut self.reply, id, &action);
        }
        Ok(())
    }
}
