//! Writes the actions of the decision module as lines of the simulator's wire.

use crate::instance::Instance;
use cottonnotch_decision::{Action, Notification, ServerId};
use std::io::{self, Write};

impl Instance {
    /// Writes the line of an action, if the wire has one for it.
    pub fn write_action(&mut self, node: u64, action: &Action, output: &mut Vec<u8>) -> io::Result<()> {
        match action {
            Action::Send { request, server, timeout, .. } => {
                let host = self.servers.name(server.0);
                writeln!(output, "place\tnode-{node}\t{}\t{host}\t{timeout}", request.0)
            }
            Action::Reject { request, retry_after, .. } => {
                writeln!(output, "say_no\tnode-{node}\t{}\t{retry_after}", request.0)
            }
            Action::Fail { request, .. } => writeln!(output, "report_failure\tnode-{node}\t{}", request.0),
            Action::Migrate(request) => writeln!(output, "rebalance\tnode-{node}\t{}", request.0),
            Action::WatchList => writeln!(output, "stream_changes\tnode-{node}\t1"),
            Action::Probe(server) => writeln!(output, "sample\tnode-{node}\t{}", self.servers.name(server.0)),
            Action::Timer { after, token } => {
                let name = format!("timer-{token}");
                writeln!(output, "arm\tnode-{node}\t{after}\t{name}")?;
                self.timers.insert(name, *token);
                Ok(())
            }
            // The wire has no line for a change of health.
            Action::HealthChanged { .. } => Ok(()),
            Action::Log { notification, server } => {
                self.write_record(node, log_text(*notification), *server, output)
            }
        }
    }

    fn write_record(
        &self,
        node: u64,
        text: &str,
        server: Option<ServerId>,
        output: &mut Vec<u8>,
    ) -> io::Result<()> {
        match server {
            Some(server) => writeln!(output, "record\tnode-{node}\t{text}: {}", self.servers.name(server.0)),
            None => writeln!(output, "record\tnode-{node}\t{text}"),
        }
    }
}

/// Returns the text of a notification in the simulator's log.
fn log_text(notification: Notification) -> &'static str {
    match notification {
        Notification::PausedFailing => "server paused, keeps failing",
        Notification::Recovered => "server back after a good trial",
        Notification::Queueing => "no server can be used now, holding connections",
        Notification::ListUnreachable => "server list cannot be had, going on with the last one",
    }
}
