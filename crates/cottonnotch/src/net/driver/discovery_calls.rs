//! The open calls to discovery. A call that is not answered in time is not given up when the next one goes out: a
//! discovery that is slow answers the first call before the second one, and would never answer if each call were
//! withdrawn. The first call that sends an update becomes the watch, and the others are closed.

use super::context::Context;
use crate::net::discovery_client::DiscoveryWatch;
use cottonnotch_reactor::Key;
use std::collections::VecDeque;
use std::io;

/// Maximum number of open calls. A call in excess of it replaces the latest one: the oldest is answered first.
const MAX_OPEN_CALLS: usize = 4;

/// The open calls, oldest first. Each is a watch that may not have been answered yet.
#[derive(Debug, Default)]
pub struct DiscoveryCalls {
    open: VecDeque<Key>,
}

impl DiscoveryCalls {
    /// Requests the changes after revision `from` from discovery, beside the open calls.
    ///
    /// Returns the system's error if no connection can be started.
    pub fn start(&mut self, context: &mut Context, from: u64) -> io::Result<()> {
        self.open.retain(|call| context.reactor.contains(*call));
        while self.open.len() >= MAX_OPEN_CALLS {
            self.open.pop_back().into_iter().for_each(|latest| context.reactor.remove(latest));
        }
        let discovery = context.config.discovery;
        let started =
            context.reactor.insert(|key, io| Ok(Box::new(DiscoveryWatch::start(discovery, from, key, io)?)));
        self.open.push_back(started?);
        Ok(())
    }

    /// Closes all calls but this one, which was answered. Returns false if the call is not open any more, so that its
    /// answer is outdated.
    pub fn adopt(&mut self, context: &mut Context, answered: Key) -> bool {
        if !self.contains(answered) {
            return false;
        }
        self.open.retain(|call| {
            *call == answered || {
                context.reactor.remove(*call);
                false
            }
        });
        true
    }

    /// Whether a call that went out after this one is open, and determines when the next one goes out.
    pub fn has_later(&self, context: &Context, call: Key) -> bool {
        let later = self.open.iter().skip_while(|open| **open != call).skip(1);
        later.into_iter().any(|later| context.reactor.contains(*later))
    }

    /// Forgets a call that has ended.
    pub fn ended(&mut self, call: Key) {
        self.open.retain(|open| *open != call);
    }

    /// Closes all calls.
    pub fn close_all(&mut self, context: &mut Context) {
        self.open.drain(..).for_each(|call| context.reactor.remove(call));
    }

    /// Whether this call is open.
    pub fn contains(&self, call: Key) -> bool {
        self.open.contains(&call)
    }

    /// The open calls, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = Key> {
        self.open.iter().copied()
    }
}
