//! Between the sockets and the decisions: turns network events into the module's events and carries out its
//! actions in order. Here the network's terms (endpoint, request, attempt) meet the module's (server,
//! request, send); nothing is decided.
//!
//! This file is the core: it hands each network event to the part that translates it, each event to the module, and
//! each action to the part that carries it out. A request's way: a front reads a client's line and tells its
//! `ConnectionRequest` ([`Driver::take`]), [`clients`] makes an event of it, the module answers with an action
//! ([`Driver::settle`]), [`clients`] asks the front for an attempt ([`Driver::act`]), and once that is up the
//! front relays.

mod acceptor;
mod admin;
mod audit;
mod clients;
mod clock_file;
mod context;
mod decisions;
mod dispatch;
mod endpoint;
mod endpoints;
#[cfg(test)]
mod golden_tests;
mod hot_restart;
mod lifecycle;
mod log_target;
mod machine_clock;
mod maintenance_file;
mod management;
mod message_latency;
mod peers;
mod process;
mod records;
mod request_table;
mod shutdown;
mod startup;
mod transient_errors;
mod unregistered_clients;

use acceptor::Acceptor;
use clients::Clients;
use context::Context;
use cottonnotch_decision::{Balancer, Event};
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use endpoints::Endpoints;
use lifecycle::Lifecycle;
use log_target::LOG_TARGET;
use management::Management;
use message_latency::MessageLatency;
use peers::Peers;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;

/// The records' writer is waited for so long at the end: a shutdown is over 150 ms before SIGKILL may come.
const RECORDS_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Everything that one proxy holds.
pub struct Driver {
    context: Context,
    balancer: Balancer,
    pending: VecDeque<Event>,
    acceptor: Acceptor,
    clients: Clients,
    latency: MessageLatency,
    endpoints: Endpoints,
    lifecycle: Lifecycle,
    peers: Peers,
    management: Management,
    no_endpoint_log: RateLimitedLog,
    listen_failure_log: RateLimitedLog,
}

impl Driver {
    /// Serves until a shutdown is over. Records end with it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.context.reactor.turn()?;
            while let Some(network_event) = self.context.reactor.io.reports.pop_front() {
                self.dispatch(network_event);
            }
            if self.lifecycle.is_over(self.context.now()) {
                self.close_records();
                return Ok(());
            }
        }
    }

    fn close_records(&mut self) {
        self.context.audit.finish();
        let counts = self.context.records.close(RECORDS_CLOSE_TIMEOUT);
        // What was not written in time is lost as well, though nobody counted it.
        let lost = counts.produced.saturating_sub(counts.written);
        if lost > 0 {
            let written = counts.written;
            log::warn!(target: LOG_TARGET, lost, written; "{lost} records of this run were lost, {written} were written");
        }
    }
}
