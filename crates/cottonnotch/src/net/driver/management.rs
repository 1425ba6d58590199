//! The operators' address as the driver has it: who is let in, and whether this process is ready.

use super::net::{CALLERS, Net, PART};
use super::subchannels::Subchannels;
use crate::net::management::{Answer, Desk};
use cottonnotch_reactor::Key;
use std::io;

/// The desk, if there is one.
pub struct Management {
    desk: Option<Desk>,
}

impl Management {
    /// Opens the operators' address, if one is configured. Fails if it can't be had.
    pub fn start(net: &mut Net) -> io::Result<Self> {
        let Some(address) = net.config.mgmt else { return Ok(Management { desk: None }) };
        let desk = Desk::open(&mut net.reactor, address, CALLERS)?;
        // No key-values: scripts take the last word as the address.
        log::info!(target: PART, "operators may call at {}", desk.address()?);
        Ok(Management { desk: Some(desk) })
    }

    /// Operators wait to be let in.
    pub fn acceptable(&mut self, net: &mut Net) {
        self.desk.iter_mut().for_each(|desk| desk.acceptable(&mut net.reactor));
    }

    /// The timer for that is due.
    pub fn accept_again(&mut self, net: &mut Net) {
        self.desk.iter_mut().for_each(|desk| desk.accept_again(&mut net.reactor));
    }

    /// Whether this process is ready to serve.
    pub fn status(&self, is_leaving: bool, subchannels: &Subchannels) -> Answer {
        if is_leaving {
            Answer::unready("not ready: it is shutting down\n")
        } else if !subchannels.can_place() {
            Answer::unready("not ready: no render node is listed that may be used\n")
        } else {
            Answer::yes("ready\n")
        }
    }

    /// Answers a caller, if it is still there.
    pub fn answer(&self, net: &mut Net, caller: Key, answer: &Answer) {
        net.reactor.with(caller, |object, io| object.caller().map(|caller| caller.answer(io, answer)));
    }
}
