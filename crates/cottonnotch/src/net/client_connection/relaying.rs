//! Handling of an established connection: relays lines in both directions and detects a silent endpoint.

use super::{
    ClientConnection, ENDPOINT_END_TIMEOUT, ENDPOINT_END_TIMER, LOG_TARGET, SILENCE_TIMEOUT, SILENCE_TIMER,
    State,
};
use crate::net::client_protocol::ClientProtocol;
use crate::net::network_event::{ClientEvent, Io};
use crate::net::relay::{End, Observation, RelayProgress};
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::Half;
use cottonnotch_reactor::line::MAX_LINE;

impl ClientConnection {
    /// Relays the data that has arrived from this half of the connection.
    pub(super) fn relay(&mut self, io: &mut Io, from: Half) {
        let State::Established(relay) = &mut self.state else { return };
        let now = io.now();
        let was_idle = relay.oldest_unanswered(now).is_none();
        let mut observations = Vec::new();
        let progress = match from {
            Half::Near => relay.relay_client(&mut self.client, now),
            Half::Far => relay.relay_endpoint(&mut self.client, now, &mut observations),
        };
        if was_idle && relay.oldest_unanswered(now).is_some() {
            io.timer(now + SILENCE_TIMEOUT, self.key, SILENCE_TIMER);
        }
        self.report_observations(io, observations);
        match progress {
            RelayProgress::Idle => {}
            RelayProgress::More => io.call_again(self.key, from),
            RelayProgress::ClientEnded => io.timer(now + ENDPOINT_END_TIMEOUT, self.key, ENDPOINT_END_TIMER),
            RelayProgress::LineTooLong => self.migrate_after_long_line(io),
            RelayProgress::Ended { outcome, end } => self.end_relay(io, outcome, end),
        }
    }

    /// Reports what the endpoint's lines have shown. Of several answered lines only the latest counts.
    fn report_observations(&self, io: &mut Io, observations: Vec<Observation>) {
        let mut latest_latency = None;
        for observation in observations {
            match observation {
                Observation::Load(load) => self.report(io, ClientEvent::LoadReported(load)),
                Observation::LineAnswered { latency } => latest_latency = Some(latency),
            }
        }
        if let Some(latency) = latest_latency {
            self.report(io, ClientEvent::LineAnswered { latency });
        }
    }

    fn migrate_after_long_line(&mut self, io: &mut Io) {
        let (wire_id, address) = self.log_fields();
        log::warn!(
            target: LOG_TARGET, wire_id, address;
            "endpoint sent a line of over {MAX_LINE} bytes, client migrated"
        );
        self.migrate(io);
        self.report(io, ClientEvent::Ended(Outcome::Reset));
    }

    /// Ends an established connection: closes or resets the client's side, as `end` says.
    fn end_relay(&mut self, io: &mut Io, outcome: Outcome, end: End) {
        self.report(io, ClientEvent::Ended(outcome));
        match end {
            End::Reset => {
                self.client.reset();
                self.state = State::Closed;
            }
            End::Close => self.finish_client(io),
        }
    }

    /// Closes the connection because the endpoint did not close within [`ENDPOINT_END_TIMEOUT`] after the client
    /// ended its sending.
    pub(super) fn close_after_client(&mut self, io: &mut Io) {
        self.report(io, ClientEvent::Ended(Outcome::Cancelled));
        self.state = State::Closed;
    }

    /// Handles the silence timer: migrates the client if its oldest unanswered line has waited too long. The
    /// connections of an endpoint that hangs or lost its network stay open without any data, and TCP does not
    /// detect that.
    pub(super) fn check_silence(&mut self, io: &mut Io) {
        let State::Established(relay) = &self.state else { return };
        let now = io.now();
        match relay.oldest_unanswered(now) {
            Some(waited) if waited >= SILENCE_TIMEOUT => self.migrate_from_silent_endpoint(io, waited),
            Some(waited) => io.timer(now + SILENCE_TIMEOUT - waited, self.key, SILENCE_TIMER),
            None => {}
        }
    }

    fn migrate_from_silent_endpoint(&mut self, io: &mut Io, waited: Micros) {
        let waited_ms = waited / 1000;
        let (wire_id, address) = self.log_fields();
        log::info!(
            target: LOG_TARGET, wire_id, address, waited_ms;
            "endpoint silent for {waited_ms} ms, client migrated"
        );
        self.migrate(io);
        self.report(io, ClientEvent::EndpointSilent);
        self.report(io, ClientEvent::Ended(Outcome::Reset));
    }
}
