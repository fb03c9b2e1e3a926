//! A stream that always stands. When it moves to another address, or is due for renewal, the new stream takes the
//! current one's place only once it has delivered something: what the server sends in between would be missed.

use std::net::SocketAddr;

use calloop::Readiness;

use super::{LineError, ReconnectingStream, StreamError, StreamTimeouts};
use crate::connection::{Component, IoContext, Owner};

/// The slot of the deadline for renewal; streams count their slots from 0.
const RENEWAL_SLOT: u64 = u64::MAX;

/// The current stream and, during a hand-over, the previous one. Each stream has a slot of its own, one higher than the
/// last one's.
pub struct PersistentStream {
    current: ReconnectingStream,
    previous: Option<ReconnectingStream>,
    seed: u64,
}

impl PersistentStream {
    /// A component's stream, not open yet.
    pub fn new(
        component: Component,
        address: SocketAddr,
        timeouts: StreamTimeouts,
        seed: u64,
    ) -> PersistentStream {
        let owner = Owner::new(component, 0);
        PersistentStream {
            current: ReconnectingStream::new(owner, address, timeouts, seed),
            previous: None,
            seed,
        }
    }

    /// Opens the current stream.
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

    /// Moves to another address; returns whether it is another one.
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

    /// Puts a new stream in the current one's place. Of the two others the one that has delivered goes on: the current
    /// one if it has, else the previous one.
    fn replace_current(&mut self, address: SocketAddr, context: &mut IoContext) {
        let Owner { component, slot } = self.current.owner();
        let next = ReconnectingStream::new(
            Owner::new(component, slot + 1),
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

    /// A slot's deadline is due. Whether the current stream is to be opened now; a previous one never is.
    pub fn on_deadline(&mut self, slot: u64, context: &mut IoContext) -> bool {
        if slot == self.current.owner().slot {
            return self.current.on_deadline(context);
        }
        if slot == RENEWAL_SLOT {
            return self.renew(context);
        }
        self.drop_previous(context);
        false
    }

    /// Whether the current stream, now a new one, is to be opened.
    fn renew(&mut self, context: &mut IoContext) -> bool {
        if self.current.has_delivered() {
            self.replace_current(self.current.address(), context);
            return true;
        }
        // Open for so long and still nothing delivered, not even that nothing changes: it is as silent as one that has
        // stopped, and this instance would count as notified of what it misses before its silence ends it.
        if self.current.is_responding() {
            self.current
                .close_for_now(&StreamError::NothingDelivered, context);
        }
        self.schedule_renewal(context);
        false
    }

    /// A stream's socket has become ready.
    pub fn on_ready(&mut self, slot: u64, readiness: Readiness) {
        for stream in [Some(&mut self.current), self.previous.as_mut()]
            .into_iter()
            .flatten()
            .filter(|stream| stream.owner().slot == slot)
        {
            stream.on_ready(readiness);
        }
    }

    /// Hands over the whole lines that have come, the previous stream's first; as [`ReconnectingStream::serve`].
    pub fn serve(
        &mut self,
        context: &mut IoContext,
        mut on_line: impl FnMut(&str, &mut String, &mut IoContext) -> Result<(), LineError>,
    ) {
        if let Some(previous) = &mut self.previous {
            previous.serve(context, &mut on_line);
            // Its server has ended it, as it should.
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
