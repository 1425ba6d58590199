//! A connection that is up: lines pass unchanged both ways, and an end on one side ends the other alike.

use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::line::{Fill, LineStream, TooLong, trim_end};
use std::collections::VecDeque;

/// Unanswered lines that are remembered: a client that floods is relayed, but costs no more memory.
const MAX_WAITING: usize = 1024;
/// A render node that answers twice does so within this time of its first answer.
const REPEATED_ANSWER_WINDOW: Micros = 1_000_000;

/// What the relay noticed in the endpoint's lines.
#[derive(Debug, PartialEq)]
pub enum Observation {
    Load(f64),
    /// A line of the client's was answered after this long.
    Answered(Micros),
}

/// How a pass over one direction ended.
#[derive(Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    Continue,
    /// There may be more to read; to be called again.
    More,
    /// The client ended its sending; what the endpoint still sends is passed on.
    ClientEnded,
    /// The endpoint sent what is no line. It runs still, so the client is moved, not cut off.
    LineTooLong,
    /// The connection is over; the client's side is to be closed alike.
    Over {
        outcome: Outcome,
        reset: bool,
    },
}

/// The endpoint's side of a connection that is up, and what is known of the exchange.
#[derive(Debug)]
pub struct Relay {
    link: LineStream,
    /// When each line of the client's that is unanswered was passed on, and whether it reads like an answer.
    waiting: VecDeque<(Micros, bool)>,
    /// What the endpoint's last line makes of an end that follows it.
    announced_end: Option<Outcome>,
    client_ended: bool,
    /// Up to here an answer may still be repeated.
    answers_until: Micros,
}

/// The first word of a line, its end included or not.
fn verb(line: &[u8]) -> &[u8] {
    trim_end(line).split(|b| *b == b' ').next().unwrap_or_default()
}

impl Relay {
    /// One whose answer has come now.
    pub fn new(link: LineStream, now: Micros) -> Self {
        let answers_until = now + REPEATED_ANSWER_WINDOW;
        Relay { link, waiting: VecDeque::new(), announced_end: None, client_ended: false, answers_until }
    }

    /// A second answer is no line of the session, and to the client it would be a second final answer. A client's own
    /// line that looks like one comes back only while it is unanswered; an error may be the answer to any line.
    fn is_second_answer(&self, line: &[u8], now: Micros) -> bool {
        now < self.answers_until
            && match verb(line) {
                b"UP" | b"BUSY" => !self.waiting.iter().any(|(_, looks_like_answer)| *looks_like_answer),
                b"ERR" => self.waiting.is_empty(),
                _ => false,
            }
    }

    /// For how long the oldest unanswered line has waited.
    pub fn oldest_unanswered(&self, now: Micros) -> Option<Micros> {
        self.waiting.front().map(|(since, _)| now - since)
    }

    /// Passes on what the client sent.
    pub fn relay_client(&mut self, client: &mut LineStream, now: Micros) -> RelayOutcome {
        if self.client_ended {
            // It may have left altogether since.
            return if client.is_broken() { self.reset() } else { RelayOutcome::Continue };
        }
        if self.link.is_full() {
            return RelayOutcome::Continue;
        }
        let fill = client.fill();
        loop {
            match client.take_line() {
                Ok(Some(line)) => {
                    log::trace!("client says '{}'", line.escape_ascii());
                    self.link.push(&line);
                    if self.waiting.len() < MAX_WAITING {
                        self.waiting.push_back((now, matches!(verb(&line), b"UP" | b"BUSY")));
                    }
                }
                Ok(None) => break,
                Err(TooLong) => return self.over(Outcome::Cancelled, false),
            }
        }
        match fill {
            Fill::Ended => {
                self.link.push(&client.take_rest());
                self.link.finish();
                self.client_ended = true;
            }
            Fill::Broken(_) => return self.reset(),
            Fill::Blocked | Fill::More => {}
        }
        if self.link.flush().is_err() {
            // What the endpoint sent before it broke is still to be read; that finds the end.
            return RelayOutcome::Continue;
        }
        match fill {
            Fill::More => RelayOutcome::More,
            Fill::Ended => RelayOutcome::ClientEnded,
            _ => RelayOutcome::Continue,
        }
    }

    /// Passes on what the endpoint sent, and notes what it tells.
    pub fn relay_endpoint(
        &mut self,
        client: &mut LineStream,
        now: Micros,
        observations: &mut Vec<Observation>,
    ) -> RelayOutcome {
        if client.is_full() {
            return RelayOutcome::Continue;
        }
        let fill = self.link.fill();
        loop {
            match self.link.take_line() {
                Ok(Some(line)) => {
                    log::trace!("endpoint says '{}'", line.escape_ascii());
                    if self.is_second_answer(trim_end(&line), now) {
                        log::debug!("dropped a second answer, '{}'", line.escape_ascii());
                        continue;
                    }
                    self.note(trim_end(&line), now, observations);
                    client.push(&line);
                }
                Ok(None) => break,
                Err(TooLong) => return RelayOutcome::LineTooLong,
            }
        }
        let pass = match fill {
            Fill::Ended => {
                let rest = self.link.take_rest();
                if !self.is_second_answer(trim_end(&rest), now) {
                    client.push(&rest);
                }
                self.over(Outcome::Reset, false)
            }
            Fill::Broken(_) => self.over(Outcome::Reset, true),
            Fill::Blocked => RelayOutcome::Continue,
            Fill::More => RelayOutcome::More,
        };
        match client.flush() {
            Err(_) if !matches!(pass, RelayOutcome::Over { .. }) => self.reset(),
            _ => pass,
        }
    }

    /// Writes on to the endpoint what did not fit before.
    pub fn flush(&mut self) {
        // A broken connection is found by reading.
        let _ = self.link.flush();
    }

    /// The client's reset passes on.
    fn reset(&self) -> RelayOutcome {
        self.link.reset();
        self.over(Outcome::Cancelled, true)
    }

    fn over(&self, outcome: Outcome, reset: bool) -> RelayOutcome {
        let left = self.client_ended.then_some(Outcome::Cancelled);
        RelayOutcome::Over { outcome: self.announced_end.or(left).unwrap_or(outcome), reset }
    }

    fn note(&mut self, line: &[u8], now: Micros, observations: &mut Vec<Observation>) {
        self.announced_end = None;
        let mut words = line.split(|b| *b == b' ');
        match words.next().unwrap_or_default() {
            b"LOAD" => {
                let figure = words.next().and_then(|w| std::str::from_utf8(w).ok()?.parse::<f64>().ok());
                observations.extend(figure.filter(|f| f.is_finite()).map(Observation::Load));
            }
            b"BYE" => self.announced_end = Some(Outcome::Served),
            b"MOVE" => self.announced_end = Some(Outcome::Cancelled),
            _ => observations
                .extend(self.waiting.pop_front().map(|(since, _)| Observation::Answered(now - since))),
        }
    }
}
