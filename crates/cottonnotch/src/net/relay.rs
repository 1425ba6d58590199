//! Relaying on an established connection: lines pass unchanged both ways, and an end on one side ends the other in the
//! same manner.

use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::line::{Fill, LineStream, TooLong, trim_end};
use std::collections::VecDeque;

/// Unanswered lines that are remembered: a client that floods is relayed, but costs no more memory. Chosen.
const MAX_UNANSWERED: usize = 1024;
/// A render node that answers twice does so within this time of its first answer.
const REPEATED_ANSWER_WINDOW: Micros = 1_000_000;

/// What the relay noticed in the endpoint's lines.
#[derive(Debug, PartialEq)]
pub enum Observation {
    /// The endpoint reported this load, or a latency.
    Load(f64),
    /// A line of the client's was answered after this long.
    LineAnswered { latency: Micros },
}

/// How far relaying in one direction went.
#[derive(Debug, PartialEq, Eq)]
pub enum RelayProgress {
    /// All that could be relayed was; the next event goes on.
    Idle,
    /// There may be more to read; to be called again.
    More,
    /// The client ended its sending; what the endpoint still sends is relayed.
    ClientEnded,
    /// The endpoint sent what is no line. It runs still, so the client is migrated, not cut off.
    LineTooLong,
    /// The connection is over; the client's side is to be ended in this manner.
    Ended { outcome: Outcome, end: End },
}

/// The manner in which a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// After the last byte that was sent.
    Close,
    /// At once, with a TCP reset.
    Reset,
}

/// A line of the client's that has no answer yet.
#[derive(Debug)]
struct UnansweredLine {
    relayed_at: Micros,
    /// It reads like a final answer, and an endpoint that echoes it sends no second one.
    looks_like_answer: bool,
}

/// The endpoint's side of an established connection, and what is known of the exchange.
#[derive(Debug)]
pub struct Relay {
    link: LineStream,
    /// The client's lines without an answer, oldest first.
    unanswered: VecDeque<UnansweredLine>,
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
    /// A relay whose `UP` line has come now.
    pub fn new(link: LineStream, now: Micros) -> Self {
        let answers_until = now + REPEATED_ANSWER_WINDOW;
        Relay { link, unanswered: VecDeque::new(), announced_end: None, client_ended: false, answers_until }
    }

    /// Whether a line repeats the final answer. It is no line of the session, and to the client it would be a second
    /// final answer. A client's own line that looks like one comes back only while it is unanswered; an error may be
    /// the answer to any line.
    fn is_second_answer(&self, line: &[u8], now: Micros) -> bool {
        now < self.answers_until
            && match verb(line) {
                b"UP" | b"BUSY" => !self.unanswered.iter().any(|line| line.looks_like_answer),
                b"ERR" => self.unanswered.is_empty(),
                _ => false,
            }
    }

    /// For how long the oldest unanswered line has waited.
    pub fn oldest_unanswered(&self, now: Micros) -> Option<Micros> {
        self.unanswered.front().map(|line| now - line.relayed_at)
    }

    /// Relays what the client sent.
    pub fn relay_client(&mut self, client: &mut LineStream, now: Micros) -> RelayProgress {
        if self.client_ended {
            // It may have left altogether since.
            return if client.is_broken() { self.reset() } else { RelayProgress::Idle };
        }
        if self.link.is_full() {
            return RelayProgress::Idle;
        }
        let fill = client.fill();
        loop {
            match client.take_line() {
                Ok(Some(line)) => {
                    log::trace!("client says '{}'", line.escape_ascii());
                    self.link.push(&line);
                    self.remember_unanswered(&line, now);
                }
                Ok(None) => break,
                Err(TooLong) => return self.ended(Outcome::Cancelled, End::Close),
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
            return RelayProgress::Idle;
        }
        match fill {
            Fill::More => RelayProgress::More,
            Fill::Ended => RelayProgress::ClientEnded,
            _ => RelayProgress::Idle,
        }
    }

    /// Relays what the endpoint sent, and notes what it shows.
    pub fn relay_endpoint(
        &mut self,
        client: &mut LineStream,
        now: Micros,
        observations: &mut Vec<Observation>,
    ) -> RelayProgress {
        if client.is_full() {
            return RelayProgress::Idle;
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
                    self.observe_line(trim_end(&line), now, observations);
                    client.push(&line);
                }
                Ok(None) => break,
                Err(TooLong) => return RelayProgress::LineTooLong,
            }
        }
        let progress = match fill {
            Fill::Ended => {
                let rest = self.link.take_rest();
                if !self.is_second_answer(trim_end(&rest), now) {
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

    fn remember_unanswered(&mut self, line: &[u8], now: Micros) {
        if self.unanswered.len() < MAX_UNANSWERED {
            let looks_like_answer = matches!(verb(line), b"UP" | b"BUSY");
            self.unanswered.push_back(UnansweredLine { relayed_at: now, looks_like_answer });
        }
    }

    /// Goes on writing to the endpoint what did not fit before.
    pub fn flush(&mut self) {
        // A broken connection is found by reading.
        let _ = self.link.flush();
    }

    /// Relays the client's reset.
    fn reset(&self) -> RelayProgress {
        self.link.reset();
        self.ended(Outcome::Cancelled, End::Reset)
    }

    /// The connection is over: what the endpoint announced, or that the client has left, counts before `outcome`.
    fn ended(&self, outcome: Outcome, end: End) -> RelayProgress {
        let left = self.client_ended.then_some(Outcome::Cancelled);
        RelayProgress::Ended { outcome: self.announced_end.or(left).unwrap_or(outcome), end }
    }

    /// Notes what a line of the endpoint's means: its load, the end that it announces, or an answer.
    fn observe_line(&mut self, line: &[u8], now: Micros, observations: &mut Vec<Observation>) {
        self.announced_end = None;
        let mut words = line.split(|b| *b == b' ');
        match words.next().unwrap_or_default() {
            b"LOAD" => {
                let figure = words.next().and_then(|w| std::str::from_utf8(w).ok()?.parse::<f64>().ok());
                observations.extend(figure.filter(|f| f.is_finite()).map(Observation::Load));
            }
            b"BYE" => self.announced_end = Some(Outcome::Served),
            b"MOVE" => self.announced_end = Some(Outcome::Cancelled),
            _ => {
                let answered = self.unanswered.pop_front();
                let latency = answered.map(|line| now - line.relayed_at);
                observations.extend(latency.map(|latency| Observation::LineAnswered { latency }));
            }
        }
    }
}
