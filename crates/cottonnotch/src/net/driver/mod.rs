//! The driver connects the sockets to the decision module: it turns network events into the module's events and
//! carries out the module's actions in order. It translates between the network's terms (endpoint, attempt, client)
//! and the module's terms (server, send, request), and makes no decisions itself.
//!
//! The path of a request: a client's connection reads the client's line and reports a
//! [`ConnectionRequest`](super::connection_request::ConnectionRequest). [`dispatch`] hands it to [`clients`], which
//! creates an event. [`decisions`] hands the event to the module and carries out the resulting action. [`clients`]
//! then starts an attempt on the client's connection, and the connection relays once an endpoint has accepted it.

mod acceptor;
mod admin;
mod audit;
mod clients;
mod clock_file;
mod context;
mod decisions;
mod discovery_calls;
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
mod open_ids;
mod peers;
mod process;
mod records;
#[cfg(test)]
mod reload_tests;
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

/// Number of reports for which the event loop keeps memory between rounds.
const KEPT_REPORTS: usize = 1_024;
/// Time limit for flushing the records at exit: the shutdown ends 150 ms before the earliest SIGKILL.
const RECORDS_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// One proxy: the decision module and the parts that turn network events into its events.
pub struct Driver {
    context: Context,
    balancer: Balancer,
    pending_events: VecDeque<Event>,
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
    /// Runs the event loop until a shutdown is complete, then closes the records.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.context.reactor.turn()?;
            while let Some(network_event) = self.context.reactor.io.reports.pop_front() {
                self.dispatch(network_event);
            }
            self.context.reactor.io.reports.shrink_to(KEPT_REPORTS);
            if self.lifecycle.is_over(self.context.now()) {
                self.close_records();
                return Ok(());
            }
        }
    }

    fn close_records(&mut self) {
        self.context.audit.finish();
        let counts = self.context.records.close(RECORDS_CLOSE_TIMEOUT);
        // Records that were not written in time are lost too, although the recorder does not count them as lost.
        let lost = counts.produced.saturating_sub(counts.written);
        if lost > 0 {
            let written = counts.written;
            log::warn!(target: LOG_TARGET, lost, written; "{lost} records of this run were lost, {written} were written");
        }
    }
}
