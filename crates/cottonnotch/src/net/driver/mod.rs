//! The driver, between the sockets and the decision module: turns network events into the module's events and carries
//! out its actions in order. Here the network's terms (endpoint, attempt, client) meet the module's (server, send,
//! request); nothing is decided.
//!
//! The path of a request: a client's connection reads its line and reports a
//! [`ConnectionRequest`](super::connection_request::ConnectionRequest); [`dispatch`] hands it to [`clients`], which
//! makes an event of it; [`decisions`] hands that to the module and carries out the action that answers it; [`clients`]
//! starts an attempt on the client's connection, and once an endpoint has accepted it, the connection relays.

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

/// At the end the records' writer is waited for this long: a shutdown is over 150 ms before SIGKILL may come.
const RECORDS_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// One proxy: the decision module, and the parts that turn network events into its events.
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
