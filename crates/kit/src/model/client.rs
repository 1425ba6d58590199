//! The behavior of a client in one session of the plan, sans-io. Time is a parameter, and every random draw
//! derives from the session's own seed, so the same inputs at the same times give the same outputs.
//!
//! A session wants a connection from its arrival until its end. It makes its attempts in series: a *series* is a
//! number of consecutive attempts within one deadline of the class. After a failed series the session backs off, and
//! then starts the next one. `docs/design/clients.md` has the complete description.

mod attempts;
mod endings;
mod established;
pub(crate) mod lines;
mod reading;
#[cfg(test)]
mod tests;

use crate::observation::{ClientClose, Observation, ProxyClose, RequestId, Seen};
use crate::plan::{Plan, ProxyId, Session as Planned, SessionId};
use crate::time::{MS, Micros, S};
use attempts::MIN_WAIT;
use established::EstablishedConnection;
use std::sync::Arc;

/// A client that gave up waits this much longer for a late answer than the rules allow such an answer to take.
const LATE_ANSWER_MARGIN: Micros = 20 * MS;
/// After a client has ended its sending, it waits this long for the remaining lines.
const REST_TIMEOUT: Micros = 2 * S;

/// Events for a session.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)] // Each variant's sentence names its fields.
pub enum Input<'a> {
    /// The time that [`Session::next_timeout`] returned has come.
    Due,
    /// The connection is established, and the first line can be written.
    Connected,
    /// The last byte of the first line has been written.
    Written,
    /// The connection could not be established, or broke before the last byte of the first line was written.
    Unreached,
    /// A line was read; passed without its line end.
    Line(&'a [u8]),
    /// The proxy ended the connection.
    Ended(ProxyClose),
    /// [`TimelineChange::Drop`](crate::plan::TimelineChange::Drop) of the timeline.
    Drop { share: f64, back_within: Micros, seed: u64 },
    /// The run ends.
    Stop,
}

/// Actions that a session requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Record this observation.
    Record(Observation),
    /// Connect to this proxy. The session has no other connection at that time.
    Connect(ProxyId),
    /// Send this line, which includes its line end.
    Send(String),
    /// End the sending. The rest of the input is still read.
    Finish,
    /// Close the connection.
    Close,
    /// Reset the connection.
    Reset,
}

/// The time of a session's next attempt.
#[derive(Clone, Copy, Debug)]
struct NextAttempt {
    due: Micros,
    /// Whether the attempt starts a new series.
    starts_series: bool,
}

/// An attempt whose request the proxy has not yet received.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    due: Micros,
    proxy: ProxyId,
    request: RequestId,
    gives_up_at: Micros,
}

/// Why a connection that cannot serve the client is kept open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LingerReason {
    /// The request was refused or failed. The client would see a second answer.
    Refused,
    /// The client's deadline has passed. The client waits for a late answer.
    Late,
    /// `MOVE` was read. The proxy has to close the connection.
    Moved,
}

#[derive(Debug)]
enum State {
    /// No connection until the next attempt. The first attempt is due at the session's arrival.
    Waiting(NextAttempt),
    Connecting(Attempt),
    /// The connection is established and the first line is being written. The duration is the wait in that line.
    SendingFirstLine(Attempt, Micros),
    Asked {
        attempt: Attempt,
        deadline: Micros,
    },
    Lingering {
        request: RequestId,
        why: LingerReason,
        until: Micros,
        next: NextAttempt,
    },
    Up(Box<EstablishedConnection>),
    Finishing(Box<EstablishedConnection>, Micros),
    Over,
}

/// A session, from its arrival to its end.
#[derive(Debug)]
pub struct Session {
    plan: Arc<Plan>,
    id: SessionId,
    /// The end of the session, or the end of the run if that is earlier.
    until: Micros,
    state: State,
    arrived: bool,
    /// Number of attempts of the whole session. Each request's id derives from it.
    attempts: u32,
    /// Number of attempts of the current series, and the deadline of the series.
    series_attempts: u32,
    series_deadline: Micros,
    /// Number of failed series since the session was last up.
    failed_series: u32,
    /// Whether the session was up before and lost its connection by a break, a move or a drop.
    lost_connection: bool,
    /// Whether an attempt has failed since the session was last up.
    is_retry: bool,
}

type Outputs<'a> = &'a mut Vec<Output>;

fn record(out: Outputs, at: Micros, seen: Seen) {
    out.push(Output::Record(Observation { at, seen }));
}

impl Session {
    /// Creates a session of the plan, before its arrival. Returns `None` if the plan has no such session or class,
    /// or if the session would arrive after the run's end.
    pub fn new(plan: &Arc<Plan>, id: SessionId) -> Option<Self> {
        let planned = plan.sessions.get(id.0 as usize)?;
        plan.classes.get(usize::from(planned.class))?;
        let until = (planned.arrives + planned.life).min(plan.ends);
        (until > planned.arrives).then(|| Session {
            plan: Arc::clone(plan),
            id,
            until,
            state: State::Waiting(NextAttempt { due: planned.arrives, starts_series: true }),
            arrived: false,
            attempts: 0,
            series_attempts: 0,
            series_deadline: 0,
            failed_series: 0,
            lost_connection: false,
            is_retry: false,
        })
    }

    fn planned(&self) -> &Planned {
        &self.plan.sessions[self.id.0 as usize]
    }

    fn class(&self) -> &crate::plan::Class {
        &self.plan.classes[usize::from(self.planned().class)]
    }

    /// The time until which the session wants a connection.
    pub fn wanted_until(&self) -> Micros {
        self.until
    }

    /// The weight of a well-served second of this session.
    pub fn worth(&self) -> f64 {
        self.class().worth
    }

    /// The request and the proxy of the connection, if the session is up.
    pub fn up(&self) -> Option<(RequestId, ProxyId)> {
        match &self.state {
            State::Up(connection) => Some((connection.info.request, connection.info.proxy)),
            _ => None,
        }
    }

    /// Whether the session is over and will request nothing more.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// The time at which the session needs [`Input::Due`]; `None` once it is over.
    pub fn next_timeout(&self) -> Option<Micros> {
        match &self.state {
            State::Waiting(next) => Some(if self.has_time(*next) { next.due } else { self.until }),
            State::Connecting(attempt) | State::SendingFirstLine(attempt, _) => Some(attempt.gives_up_at),
            State::Asked { deadline, .. } => Some(*deadline),
            State::Lingering { until, next, .. } => Some(*until.min(&next.due)),
            State::Up(connection) => Some(connection.next_timeout().min(self.until)),
            State::Finishing(_, until) => Some(*until),
            State::Over => None,
        }
    }

    /// Handles an input. `admitted` tells whether the front currently sends new clients to a proxy. An input that
    /// does not fit the state belongs to a connection that has been closed meanwhile, and is ignored.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input<'_>,
        admitted: &dyn Fn(ProxyId) -> bool,
        out: Outputs,
    ) {
        match input {
            Input::Due => self.handle_due(now, admitted, out),
            Input::Connected => self.handle_connected(now, out),
            Input::Written => self.handle_written(now, out),
            Input::Unreached => self.handle_unreached(now, out),
            Input::Line(line) => self.handle_line(now, line, out),
            Input::Ended(how) => self.handle_end(now, how, out),
            Input::Drop { share, back_within, seed } => self.handle_drop(now, share, back_within, seed, out),
            Input::Stop => self.stop(now, out),
        }
    }

    /// Whether an attempt at that time could be answered before the session's end.
    fn has_time(&self, next: NextAttempt) -> bool {
        next.due + MIN_WAIT <= self.until
    }

    fn handle_due(&mut self, now: Micros, admitted: &dyn Fn(ProxyId) -> bool, out: Outputs) {
        match &mut self.state {
            State::Waiting(next) if next.due <= now => {
                let next = *next;
                if self.has_time(next) {
                    self.start_attempt(next, admitted, out);
                } else if now >= self.until {
                    self.state = State::Over;
                }
            }
            State::Waiting(_) if now >= self.until => self.state = State::Over,
            State::Connecting(attempt) | State::SendingFirstLine(attempt, _)
                if now >= attempt.gives_up_at =>
            {
                out.push(Output::Close);
                self.handle_unreached(now, out);
            }
            State::Asked { attempt, deadline } if now >= *deadline => {
                let (request, deadline) = (attempt.request, *deadline);
                let next = self.schedule_after_failure(deadline, 0);
                if self.planned().patience < 1.0 {
                    self.close_unserved(now, request, ClientClose::Impatient, next, out);
                } else {
                    let rules = &self.plan.rules;
                    let until = deadline + rules.answer_slack + rules.grace + LATE_ANSWER_MARGIN;
                    // A client with a short backoff still waits this long for the answer that the proxy owes it.
                    let next = NextAttempt { due: next.due.max(until), ..next };
                    self.state = State::Lingering { request, why: LingerReason::Late, until, next };
                }
            }
            State::Lingering { request, why, until, next } if now >= (*until).min(next.due) => {
                let (request, why, next) = (*request, *why, *next);
                if why == LingerReason::Late {
                    record(out, now, Seen::Left { request, why: ClientClose::GaveUp });
                }
                out.push(Output::Close);
                self.state = State::Waiting(next);
            }
            State::Up(_) => self.handle_due_up(now, out),
            State::Finishing(_, until) if now >= *until => {
                out.push(Output::Close);
                self.state = State::Over;
            }
            _ => {}
        }
    }

    fn handle_due_up(&mut self, now: Micros, out: Outputs) {
        let State::Up(mut connection) = std::mem::replace(&mut self.state, State::Over) else { return };
        connection.record_late_lines(now, out);
        while let Some(line) = connection.take_due_line(now, out) {
            out.push(Output::Send(line));
        }
        if now < self.until {
            self.state = State::Up(connection);
            return;
        }
        connection.end(now, out);
        record(out, now, Seen::Left { request: connection.info.request, why: ClientClose::Done });
        out.push(Output::Finish);
        self.state = State::Finishing(connection, now + REST_TIMEOUT);
    }
}
