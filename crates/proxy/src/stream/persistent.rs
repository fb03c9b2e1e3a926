//! A stream without gaps: when its address changes or it is due for renewal, a second stream is
//! opened. The first one is closed only after the second has delivered a complete message, so that
//! no change is missed in between.

use std::net::SocketAddr;

use calloop::Readiness;

use super::{LineError, ReconnectingStream, StreamError, StreamTimeouts};
use crate::context::{Component, IoContext, Owner};
use crate::ids::SlotKey;

/// The slot of the renewal deadline. No stream has it: the slots of streams count up from 0.
const RENEWAL_SLOT: SlotKey = SlotKey::new(u64::MAX);

/// The current stream and, until the current one has delivered a message, the previous one. Each
/// new stream gets the next slot.
pub struct PersistentStream {
    current: ReconnectingStream,
    previous: Option<ReconnectingStream>,
    seed: u64,
}

impl PersistentStream {
    /// Creates the stream of a component without opening it.
    pub fn new(
        component: Component,
        address: SocketAddr,
        timeouts: StreamTimeouts,
        seed: u64,
    ) -> PersistentStream {
        let owner = Owner::only(component);
        PersistentStream {
            current: ReconnectingStream::new(owner, address, timeouts, seed),
            previous: None,
            seed,
        }
    }

    /// Opens the current stream and schedules its renewal.
    pub fn open(&mut self, path: &str, context: &mut IoContext) {
        self.current.open(path, context);
        self.schedule_renewal(context);
    }

    fn schedule_renewal(&self, context: &mut IoContext) {
        if let Some(interval) = self.current.timeouts().renewal_interval {
            let owner = Owner::new(self.current.owner().component, RENEWAL_SLOT);
            context.deadlines.set(owner, context.now + interval);
        }
    }

    /// Switches to another address. Returns whether it differs from the current one.
    pub fn change_address(
        &mut self,
        address: SocketAddr,
        path: &str,
        context: &mut IoContext,
    ) -> bool {
        if address == self.current.address() {
            return false;
        }
        self.replace_current(address, context);
        self.open(path, context);
        true
    }

    /// Replaces the current stream by a new one. One of the two older streams is kept: the replaced
    /// one if it has delivered a message or is the only one, otherwise the previous one.
    fn replace_current(&mut self, address: SocketAddr, context: &mut IoContext) {
        let Owner { component, slot } = self.current.owner();
        let next = ReconnectingStream::new(
            Owner::new(component, slot.next()),
            address,
            self.current.timeouts(),
            self.seed,
        );
        let replaced = std::mem::replace(&mut self.current, next);
        if replaced.has_delivered() || self.previous.is_none() {
            self.drop_previous(context);
            self.previous = Some(replaced);
        } else {
            context.deadlines.clear(replaced.owner());
        }
    }

    fn drop_previous(&mut self, context: &mut IoContext) {
        if let Some(previous) = self.previous.take() {
            context.deadlines.clear(previous.owner());
        }
    }

    /// Handles the expired deadline of a slot. Returns whether the current stream has to be opened
    /// now; a previous stream is dropped and never opened again.
    pub fn on_deadline(&mut self, slot: SlotKey, context: &mut IoContext) -> bool {
        if slot == self.current.owner().slot {
            return self.current.on_deadline(context);
        }
        if slot == RENEWAL_SLOT {
            return self.renew(context);
        }
        self.drop_previous(context);
        false
    }

    /// Replaces the current stream if it has delivered a message. Returns whether the new one has
    /// to be opened.
    fn renew(&mut self, context: &mut IoContext) -> bool {
        if self.current.has_delivered() {
            self.replace_current(self.current.address(), context);
            return true;
        }
        // The stream has delivered nothing for a whole interval, not even a keep-alive. Waiting for
        // the keep-alive timeout would take longer than the time within which this instance has to
        // know of the changes that it is missing.
        if self.current.is_responding() {
            self.current
                .close_and_back_off(&StreamError::NothingDelivered, context);
        }
        self.schedule_renewal(context);
        false
    }

    /// Records that the socket of a stream has become ready.
    pub fn on_ready(&mut self, slot: SlotKey, readiness: Readiness) {
        for stream in [Some(&mut self.current), self.previous.as_mut()]
            .into_iter()
            .flatten()
            .filter(|stream| stream.owner().slot == slot)
        {
            stream.on_ready(readiness);
        }
    }

    /// Delivers the received complete lines, those of the previous stream first; see
    /// [`ReconnectingStream::serve`].
    pub fn serve(
        &mut self,
        context: &mut IoContext,
        mut on_line: impl FnMut(&str, &mut String, &mut IoContext) -> Result<(), LineError>,
    ) {
        if let Some(previous) = &mut self.previous {
            previous.serve(context, &mut on_line);
            // The previous stream is dropped once it is closed, not reopened: the current stream
            // replaces it. After a change of address, the server at the old address is expected to
            // close the previous stream.
            if !previous.is_open() {
                self.drop_previous(context);
            }
        }
        self.current.serve(context, on_line);
        if self.current.has_delivered() {
            self.drop_previous(context);
        }
    }
}
