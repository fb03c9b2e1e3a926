//! The main loop: reads a batch, steps every running instance that it names, and writes the reply.
//!
//! Endpoint lists, and lines that start or stop an instance, are applied immediately. Events are
//! buffered until the batch is complete. No reply is written to a batch that cannot be parsed
//! completely.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::rc::Rc;

use tidescale_settings::parse_number;

use crate::batch::{Batch, EventLine};
use crate::endpoint_list::{EndpointRows, referenced_list_number};
use crate::error::AdapterError;
use crate::fields::{fields, message_name};
use crate::instance::Instance;
use crate::numbers::{InstanceNumber, ListNumber};

/// The simulator's instances, and the streams from and to the simulator.
pub struct Adapter<R, W> {
    input: R,
    output: W,
    /// Running instances.
    instances: BTreeMap<InstanceNumber, Instance>,
    /// The latest endpoint list with each number.
    endpoint_lists: BTreeMap<ListNumber, EndpointRows>,
}

impl<R: BufRead, W: Write> Adapter<R, W> {
    /// Creates an adapter without instances.
    pub fn new(input: R, output: W) -> Self {
        Adapter {
            input,
            output,
            instances: BTreeMap::new(),
            endpoint_lists: BTreeMap::new(),
        }
    }

    /// Handles batches until the input ends after a complete batch.
    pub fn run(&mut self) -> Result<(), AdapterError> {
        while let Some(line) = self.read_line()? {
            if line.is_empty() {
                continue;
            }
            let mut batch = Batch::parse_header(&line)?;
            self.read_batch_lines(&mut batch)?;
            let reply = self.step_instances(&batch)?;
            self.write_reply(&reply)?;
        }
        Ok(())
    }

    /// Reads the next line, without its line terminator; `None` at the end of the input.
    fn read_line(&mut self) -> Result<Option<String>, AdapterError> {
        let mut line = String::new();
        let length = self
            .input
            .read_line(&mut line)
            .map_err(AdapterError::Read)?;
        if length == 0 {
            return Ok(None);
        }
        line.truncate(line.trim_end_matches(['\n', '\r']).len());
        Ok(Some(line))
    }

    /// Reads the lines of a batch up to `OVER_TO_YOU`.
    fn read_batch_lines(&mut self, batch: &mut Batch) -> Result<(), AdapterError> {
        let mut instance = None;
        loop {
            let line = self
                .read_line()?
                .ok_or(AdapterError::UnexpectedEndOfInput)?;
            match message_name(&line) {
                "OVER_TO_YOU" => return Ok(()),
                "AT" => {
                    let [number] = fields(&line)?;
                    instance = Some(InstanceNumber::parse(number)?);
                }
                "INVENTORY" => self.read_endpoint_list(&line)?,
                _ => {
                    let Some(instance) = instance else {
                        return Err(AdapterError::EventWithoutInstance { line });
                    };
                    self.handle_event_line(instance, line, batch)?;
                }
            }
        }
    }

    /// Reads the rows of an endpoint list that starts with `INVENTORY <list number> <rows>`.
    fn read_endpoint_list(&mut self, line: &str) -> Result<(), AdapterError> {
        let [list_number, row_count] = fields(line)?;
        let list_number = ListNumber::parse(list_number)?;
        let row_count: usize = parse_number(row_count)?;
        let mut rows = Vec::new();
        for _ in 0..row_count {
            let row = self.read_line()?.unwrap_or_default();
            if !row.starts_with("ROW ") {
                return Err(AdapterError::MissingEndpointRow { line: row });
            }
            rows.push(row);
        }
        self.endpoint_lists.insert(list_number, Rc::new(rows));
        Ok(())
    }

    /// Starts or stops an instance, or buffers its event for the step.
    fn handle_event_line(
        &mut self,
        instance: InstanceNumber,
        line: String,
        batch: &mut Batch,
    ) -> Result<(), AdapterError> {
        match message_name(&line) {
            "SPAWN" => {
                let spawned = Instance::spawn(&line, batch.now)?;
                self.instances.insert(instance, spawned);
                batch.clear_events(instance);
            }
            "DOWN" => {
                self.instances.remove(&instance);
                batch.clear_events(instance);
            }
            "ROSTER_CHANGE" => {
                let list_number = referenced_list_number(&line);
                let endpoint_rows = list_number
                    .and_then(|list_number| self.endpoint_lists.get(&list_number))
                    .cloned();
                let event_line = EventLine {
                    line,
                    endpoint_rows,
                };
                batch.push_event(instance, event_line);
            }
            _ => {
                let event_line = EventLine {
                    line,
                    endpoint_rows: None,
                };
                batch.push_event(instance, event_line);
            }
        }
        Ok(())
    }

    /// Steps the instances that the batch names, in the order of their numbers, and returns the
    /// reply. Events for an instance that is not running are ignored without being parsed.
    fn step_instances(&mut self, batch: &Batch) -> Result<String, AdapterError> {
        let mut reply = String::new();
        for (number, event_lines) in &batch.events {
            let Some(instance) = self.instances.get_mut(number) else {
                continue;
            };
            reply += &format!("INSTANCE {number}\n");
            instance.step(batch.now, event_lines, &mut reply)?;
        }
        reply += &format!("ACK {}\n", batch.number);
        Ok(reply)
    }

    fn write_reply(&mut self, reply: &str) -> Result<(), AdapterError> {
        self.output
            .write_all(reply.as_bytes())
            .and_then(|()| self.output.flush())
            .map_err(AdapterError::Write)
    }
}
