//! Relays the lines of an established connection unchanged in both directions. If one side closes or resets the
//! connection, the relay ends the other side in the same way.

use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::line::{Fill, LineStream, TooLong, trim_end};
use std::collections::VecDeque;

/// The maximum number of unanswered lines that are tracked. Further lines are relayed without being tracked, so
/// that a client that sends many lines uses no more memory.
const MAX_UNANSWERED: usize = 1024;
/// The maximum number of lines relayed in one callback. Each line may cause a report, and the shortest lines would otherwise be
/// thousands of them at each of hundreds of connections.
const MAX_LINES_PER_CALL: usize = 16;
/// How long after its final answer a render node may repeat it.
const REPEATED_ANSWER_WINDOW: Micros = 1_000_000;

/// Information from the lines of the endpoint.
#[derive(Debug, PartialEq)]
pub enum Observation {
    /// The endpoint reported this load, or a latency.
    Load(f64),
    /// The endpoint answered a line of the client after this time.
    LineAnswered { latency: Micros },
}

/// The result of relaying in one direction.
#[derive(Debug, PartialEq, Eq)]
pub enum RelayProgress {
    /// No more data can be relayed now; relaying continues with the next event.
    Idle,
    /// There may be more data to read; the caller must call again.
    More,
    /// The client ended its sending. Data from the endpoint is still relayed.
    ClientEnded,
    /// The endpoint sent a line that is too long. The client must be migrated instead of disconnected, because the
    /// connection is still open.
    LineTooLong,
    /// The connection has ended; the client's side must be ended in the way that `end` says.
    Ended { outcome: Outcome, end: End },
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection is closed after the last byte has been sent.
    Close,
    /// The connection is reset at once.
    Reset,
}

/// A line of the client that has no answer yet.
#[derive(Debug)]
struct UnansweredLine {
    relayed_at: Micros,
    /// Whether the line reads like a final answer. If an endpoint echoes such a line, the echo is not a repeated
    /// answer.
    looks_like_answer: bool,
}

/// The endpoint's side of an established connection, and the state of the exchange.
#[derive(Debug)]
pub struct Relay {
    endpoint: LineStream,
    /// The client's unanswered lines, the oldest first.
    unanswered: VecDeque<UnansweredLine>,
    /// The outcome if the connection ends after the endpoint's last line; `None` if that line announces no end.
    announced_outcome: Option<Outcome>,
    client_ended: bool,
    /// The time until which the endpoint may repeat its final answer.
    repeated_answer_until: Micros,
}

/// Returns the first word of a line, which may include its line end.
fn verb(line: &[u8]) -> &[u8] {
    trim_end(line).split(|b| *b == b' ').next().unwrap_or_default()
}

impl Relay {
    /// Creates a relay for a connection whose `UP` line arrived at `now`.
    pub fn new(endpoint: LineStream, now: Micros) -> Self {
        let repeated_answer_until = now + REPEATED_ANSWER_WINDOW;
        Relay {
            endpoint,
            unanswered: VecDeque::new(),
            announced_outcome: None,
            client_ended: false,
            repeated_answer_until,
        }
    }

    /// Returns whether a line repeats the final answer. Such a line does not belong to the session, and the client
    /// would take it for a second final answer. `UP` and `BUSY` may also be the echo of an unanswered line of the
    /// client; `ERR` may be the answer to any unanswered line.
    fn is_repeated_answer(&self, line: &[u8], now: Micros) -> bool {
        now < self.repeated_answer_until
            && match verb(line) {
                b"UP" | b"BUSY" => !self.unanswered.iter().any(|line| line.looks_like_answer),
                b"ERR" => self.unanswered.is_empty(),
                _ => false,
            }
    }

    /// Returns how long the oldest unanswered line has waited.
    pub fn oldest_unanswered(&self, now: Micros) -> Option<Micros> {
        self.unanswered.front().map(|line| now - line.relayed_at)
    }

    /// Relays the data that the client has sent.
    pub fn relay_client(&mut self, client: &mut LineStream, now: Micros) -> RelayProgress {
        if self.client_ended {
            // The client's connection may have broken since then.
            return if client.is_broken() { self.reset() } else { RelayProgress::Idle };
        }
        if self.endpoint.is_full() {
            // The client's lines wait unread, but a reset is not held back by them.
            return if client.is_broken() { self.reset() } else { RelayProgress::Idle };
        }
        let fill = client.fill_unless_line();
        for _ in 0..MAX_LINES_PER_CALL {
            if self.endpoint.is_full() {
                break;
            }
            match client.take_line() {
                Ok(Some(line)) => {
                    log::trace!("line from the client: '{}'", line.escape_ascii());
                    self.endpoint.push(&line);
                    self.remember_unanswered(&line, now);
                }
                Ok(None) => break,
                Err(TooLong) => return self.ended(Outcome::Cancelled, End::Close),
            }
        }
        // The lines that are left come first; then the same end is read again.
        let fill = if client.has_line() { Fill::More } else { fill };
        match fill {
            Fill::Ended => {
                self.endpoint.push(&client.take_rest());
                self.endpoint.finish();
                self.client_ended = true;
            }
            Fill::Broken(_) => return self.reset(),
            Fill::Blocked | Fill::More => {}
        }
        if self.endpoint.flush().is_err() {
            // Data that the endpoint sent before the connection broke must still be read; reading also detects the
            // end.
            return RelayProgress::Idle;
        }
        match fill {
            Fill::More => RelayProgress::More,
            Fill::Ended => RelayProgress::ClientEnded,
            _ => RelayProgress::Idle,
        }
    }

    /// Relays the data that the endpoint has sent, and adds to `observations` what its lines report.
    pub fn relay_endpoint(
        &mut self,
        client: &mut LineStream,
        now: Micros,
        observations: &mut Vec<Observation>,
    ) -> RelayProgress {
        if client.is_full() {
            return RelayProgress::Idle;
        }
        let fill = self.endpoint.fill_unless_line();
        for _ in 0..MAX_LINES_PER_CALL {
            if client.is_full() {
                break;
            }
            match self.endpoint.take_line() {
                Ok(Some(line)) => {
                    log::trace!("line from the endpoint: '{}'", line.escape_ascii());
                    if self.is_repeated_answer(trim_end(&line), now) {
                        log::debug!("dropped a repeated answer: '{}'", line.escape_ascii());
                        continue;
                    }
                    self.observe_line(trim_end(&line), now, observations);
                    client.push(&line);
                }
                Ok(None) => break,
                Err(TooLong) => return RelayProgress::LineTooLong,
            }
        }
        // The lines that are left come first; then the same end is read again.
        let fill = if self.endpoint.has_line() { Fill::More } else { fill };
        let progress = match fill {
            Fill::Ended => {
                let rest = self.endpoint.take_rest();
                if !self.is_repeated_answer(trim_end(&rest), now) {
                    client.push(&rest);
                }
                self.ended(Outcome::Reset, End::Close)
            }
            Fill::Broken(_) => self.ended(Outcome::Reset, End::Reset),
            Fill::Blocked => RelayProgress::Idle,
            Fill::More => RelayProgress::More,
        };
        match client.flush() {
            Err(_) if !matches!(progress, RelayProgress::Ended { .. }) => self.reset(),
            _ => progress,
        }
    }

    /// Relays all complete lines that were read already, before the connection is ended from this side.
    pub fn relay_buffered_lines(&mut self, client: &mut LineStream, now: Micros) {
        while let Ok(Some(line)) = self.endpoint.take_line() {
            if !self.is_repeated_answer(trim_end(&line), now) {
                client.push(&line);
            }
        }
        while let Ok(Some(line)) = client.take_line() {
            self.endpoint.push(&line);
        }
        self.flush();
    }

    fn remember_unanswered(&mut self, line: &[u8], now: Micros) {
        if self.unanswered.len() < MAX_UNANSWERED {
            let looks_like_answer = matches!(verb(line), b"UP" | b"BUSY");
            self.unanswered.push_back(UnansweredLine { relayed_at: now, looks_like_answer });
        }
    }

    /// Continues writing buffered data to the endpoint.
    pub fn flush(&mut self) {
        // A broken connection is detected by the next read.
        let _ = self.endpoint.flush();
    }

    /// Resets the connection to the endpoint because the client's connection is broken.
    fn reset(&self) -> RelayProgress {
        self.endpoint.reset();
        self.ended(Outcome::Cancelled, End::Reset)
    }

    /// Builds the result for an ended connection. An end that the endpoint announced takes precedence over the
    /// client having left, which takes precedence over `outcome`.
    fn ended(&self, outcome: Outcome, end: End) -> RelayProgress {
        let left = self.client_ended.then_some(Outcome::Cancelled);
        RelayProgress::Ended { outcome: self.announced_outcome.or(left).unwrap_or(outcome), end }
    }

    /// Evaluates a line of the endpoint: a load report, the announcement of an end, or an answer.
    fn observe_line(&mut self, line: &[u8], now: Micros, observations: &mut Vec<Observation>) {
        self.announced_outcome = None;
        let mut words = line.split(|b| *b == b' ');
        match words.next().unwrap_or_default() {
            b"LOAD" => {
                let load = words.next().and_then(|w| std::str::from_utf8(w).ok()?.parse::<f64>().ok());
                observations.extend(load.filter(|load| load.is_finite()).map(Observation::Load));
            }
            b"BYE" => self.announced_outcome = Some(Outcome::Served),
            b"MOVE" => self.announced_outcome = Some(Outcome::Cancelled),
            _ => {
                let answered = self.unanswered.pop_front();
                let latency = answered.map(|line| now - line.relayed_at);
                observations.extend(latency.map(|latency| Observation::LineAnswered { latency }));
            }
        }
    }
}
