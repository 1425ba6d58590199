//! What a client does next: one session of the plan, sans-io. Time is a parameter, and every draw comes from the
//! session's own seed, so the same inputs at the same times give the same outputs.
//!
//! A session wants a connection from its arrival to the end of its life. A *wish* is one bout of trying for it: some
//! tries, one after the other, within the class's deadline. `docs/design/clients.md` has the whole of it.

mod endings;
mod reading;
mod standing;
#[cfg(test)]
mod tests;
mod tries;
pub(crate) mod words;

use crate::observation::{ClientClose, Observation, ProxyClose, RequestId, Seen};
use crate::plan::{Plan, ProxyId, Session as Planned, SessionId};
use crate::time::{MS, Micros, S};
use standing::Standing;
use std::sync::Arc;
use tries::LEAST_WAIT;

/// Beyond the time in which a late answer is still in order, a client looks so much longer for one.
const LATE_MARGIN: Micros = 20 * MS;
/// After its end of sending, a client awaits the rest for so long.
const REST_WITHIN: Micros = 2 * S;

/// What has happened to a session.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)] // Each variant's sentence names its fields.
pub enum Input<'a> {
    /// The time of [`Session::next_timeout`] has come.
    Due,
    /// The connection stands, and the first line can be written.
    Connected,
    /// The first line's last byte is written.
    Written,
    /// The connection never stood, or broke before that byte was written.
    Unreached,
    /// A line was read; without its end.
    Line(&'a [u8]),
    /// The proxy has ended the connection.
    Ended(ProxyClose),
    /// The timeline's [`TimelineChange::Drop`](crate::plan::TimelineChange::Drop).
    Drop { share: f64, back_within: Micros, seed: u64 },
    /// The run is over.
    Stop,
}

/// What a session wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be taken down.
    Note(Observation),
    /// Connect to this proxy. There is no other connection.
    Connect(ProxyId),
    /// Write this, its line end included.
    Send(String),
    /// End the sending; the rest is still read.
    Finish,
    /// Close the connection.
    Close,
    /// Close it by a reset.
    Reset,
}

/// When a session tries again.
#[derive(Clone, Copy, Debug)]
struct Next {
    due: Micros,
    /// With a new wish.
    fresh: bool,
}

/// A try that is not put to the proxy yet.
#[derive(Clone, Copy, Debug)]
struct Try {
    due: Micros,
    proxy: ProxyId,
    request: RequestId,
    gives_up: Micros,
}

/// Why a connection is kept that can't serve any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Why {
    /// It was refused, or failed: a second answer would be seen.
    Refused,
    /// The client's time was up: a late answer is looked for.
    Late,
    /// `MOVE` was read: the proxy is to close.
    Moved,
}

#[derive(Debug)]
enum State {
    /// No connection; `arrives` if the session has not come yet.
    Waiting(Next),
    Connecting(Try),
    /// The connection stands, the first line is being written.
    Opening(Try, Micros),
    Asked {
        of: Try,
        deadline: Micros,
    },
    Lingering {
        request: RequestId,
        why: Why,
        until: Micros,
        next: Next,
    },
    Up(Box<Standing>),
    Finishing(Box<Standing>, Micros),
    AttemptEnd,
}

/// A session, from its arrival to its end.
#[derive(Debug)]
pub struct Session {
    plan: Arc<Plan>,
    id: SessionId,
    /// The end of its life, or of the run.
    until: Micros,
    state: State,
    arrived: bool,
    /// Tries of its whole life; numbers the ids.
    tries: u32,
    /// Tries of this wish, and the end of it.
    wish_tries: u32,
    wish_ends: Micros,
    /// Wishes that failed since it was last up.
    failed: u32,
    /// It was up before, and its connection was broken or moved.
    again: bool,
    /// It tried since it was last up.
    repeat: bool,
}

type Out<'a> = &'a mut Vec<Output>;

fn note(out: Out, at: Micros, seen: Seen) {
    out.push(Output::Note(Observation { at, seen }));
}

impl Session {
    /// A session of the plan before its arrival; none if the plan has no such session or class, or if it would come
    /// after the run's end.
    pub fn new(plan: &Arc<Plan>, id: SessionId) -> Option<Self> {
        let planned = plan.sessions.get(id.0 as usize)?;
        plan.classes.get(usize::from(planned.class))?;
        let until = (planned.arrives + planned.life).min(plan.ends);
        (until > planned.arrives).then(|| Session {
            plan: Arc::clone(plan),
            id,
            until,
            state: State::Waiting(Next { due: planned.arrives, fresh: true }),
            arrived: false,
            tries: 0,
            wish_tries: 0,
            wish_ends: 0,
            failed: 0,
            again: false,
            repeat: false,
        })
    }

    fn planned(&self) -> &Planned {
        &self.plan.sessions[self.id.0 as usize]
    }

    fn class(&self) -> &crate::plan::Class {
        &self.plan.classes[usize::from(self.planned().class)]
    }

    /// Until when it wants a connection.
    pub fn wanted_until(&self) -> Micros {
        self.until
    }

    /// What a well-served second of it is worth.
    pub fn worth(&self) -> f64 {
        self.class().worth
    }

    /// The request and proxy that it is up with.
    pub fn up(&self) -> Option<(RequestId, ProxyId)> {
        match &self.state {
            State::Up(standing) => Some((standing.whose.request, standing.whose.proxy)),
            _ => None,
        }
    }

    /// Nothing more will come of it.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::AttemptEnd)
    }

    /// When it wants [`Input::Due`]; none once it is over.
    pub fn next_timeout(&self) -> Option<Micros> {
        match &self.state {
            State::Waiting(next) => Some(if self.has_time(*next) { next.due } else { self.until }),
            State::Connecting(of) | State::Opening(of, _) => Some(of.gives_up),
            State::Asked { deadline, .. } => Some(*deadline),
            State::Lingering { until, next, .. } => Some(*until.min(&next.due)),
            State::Up(standing) => Some(standing.next_timeout().min(self.until)),
            State::Finishing(_, until) => Some(*until),
            State::AttemptEnd => None,
        }
    }

    /// Takes an input; `admitted` tells which proxies the front gives new clients now. What does not fit the state is
    /// ignored: it is about a connection that was closed meanwhile.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, admitted: &dyn Fn(ProxyId) -> bool, out: Out) {
        match input {
            Input::Due => self.due(now, admitted, out),
            Input::Connected => self.connected(now, out),
            Input::Written => self.written(now, out),
            Input::Unreached => self.unreached(now, out),
            Input::Line(line) => self.line(now, line, out),
            Input::Ended(how) => self.ended(now, how, out),
            Input::Drop { share, back_within, seed } => self.dropped(now, share, back_within, seed, out),
            Input::Stop => self.stop(now, out),
        }
    }

    /// A try at that time could still be answered before the session's end.
    fn has_time(&self, next: Next) -> bool {
        next.due + LEAST_WAIT <= self.until
    }

    fn due(&mut self, now: Micros, admitted: &dyn Fn(ProxyId) -> bool, out: Out) {
        match &mut self.state {
            State::Waiting(next) if next.due <= now => {
                let next = *next;
                if self.has_time(next) {
                    self.begin_try(next, admitted, out);
                } else if now >= self.until {
                    self.state = State::AttemptEnd;
                }
            }
            State::Waiting(_) if now >= self.until => self.state = State::AttemptEnd,
            State::Connecting(of) | State::Opening(of, _) if now >= of.gives_up => {
                out.push(Output::Close);
                self.unreached(now, out);
            }
            State::Asked { of, deadline } if now >= *deadline => {
                let (request, deadline) = (of.request, *deadline);
                let next = self.after_failure(deadline, 0);
                if self.planned().patience < 1.0 {
                    self.leave(now, request, ClientClose::Impatient, next, out);
                } else {
                    let rules = &self.plan.rules;
                    let until = deadline + rules.answer_slack + rules.grace + LATE_MARGIN;
                    // Whoever waits for nothing still looks as long for the answer that it is owed.
                    let next = Next { due: next.due.max(until), ..next };
                    self.state = State::Lingering { request, why: Why::Late, until, next };
                }
            }
            State::Lingering { request, why, until, next } if now >= (*until).min(next.due) => {
                let (request, why, next) = (*request, *why, *next);
                if why == Why::Late {
                    note(out, now, Seen::Left { request, why: ClientClose::GaveUp });
                }
                out.push(Output::Close);
                self.state = State::Waiting(next);
            }
            State::Up(_) => self.due_up(now, out),
            State::Finishing(_, until) if now >= *until => {
                out.push(Output::Close);
                self.state = State::AttemptEnd;
            }
            _ => {}
        }
    }

    fn due_up(&mut self, now: Micros, out: Out) {
        let State::Up(mut standing) = std::mem::replace(&mut self.state, State::AttemptEnd) else { return };
        standing.note_late(now, out);
        while let Some(line) = standing.due_line(now, out) {
            out.push(Output::Send(line));
        }
        if now < self.until {
            self.state = State::Up(standing);
            return;
        }
        standing.end(now, out);
        note(out, now, Seen::Left { request: standing.whose.request, why: ClientClose::Done });
        out.push(Output::Finish);
        self.state = State::Finishing(standing, now + REST_WITHIN);
    }
}
