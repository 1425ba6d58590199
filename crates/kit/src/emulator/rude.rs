//! Emulates misbehaving clients ([`Misbehavior`]). Each connects to an admitted proxy when the plan says so, writes its
//! script as fast as the socket takes it, and reads all the while. The proxy has to answer with an error or close the
//! connection within a few seconds.

use super::rude_script::{Script, build_script};
use crate::addresses::Addresses;
use crate::board::Board;
use crate::notes::Notes;
use crate::observation::{MisbehaviorOutcome, Observation, Seen};
use crate::plan::{Misbehavior, Plan, ProxyId};
use crate::time::{MS, Micros, S};
use cottonnotch_reactor::line::{Fill, LineStream, TooLong};
use cottonnotch_reactor::{Connection, Half, Io, Key, Reactor, Report};
use std::io;
use std::rc::Rc;
use std::sync::Arc;

/// Time after the connect within which the proxy has to answer a misbehaving client or close its connection.
const ANSWER_WITHIN: Micros = 3 * S;
/// The same for [`Misbehavior::Huge`], which writes 60 MB.
const ANSWER_WITHIN_HUGE: Micros = 6 * S;
/// Time for which a client stays connected beyond that, to see whether a late answer or close comes.
const LATE_ANSWER_WINDOW: Micros = S;
/// Time for which a [`Misbehavior::AgainAtOnce`] client reconnects.
const RECONNECT_PERIOD: Micros = S;
/// Interval between two checks for arrivals and for the end of the run.
const TICK_INTERVAL: Micros = 5 * MS;
/// Bytes written in one callback before other clients have their turn.
const MAX_BYTES_PER_TURN: usize = 256 * 1024;

/// Timer of [`run`], which owns the reactor.
const TICK_TIMER: u32 = 0;

#[derive(Debug)]
enum ClientReport {
    Timer(u32),
    Observed(Micros, Seen),
}

impl Report for ClientReport {
    fn timer(timer: u32) -> Self {
        ClientReport::Timer(timer)
    }
}

struct Shared {
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
}

/// One misbehaving client.
struct ScriptedClient {
    key: Key,
    index: u32,
    kind: Misbehavior,
    seed: u64,
    proxy: ProxyId,
    shared: Rc<Shared>,
    stream: LineStream,
    script: Script,
    connected: bool,
    /// Connections established so far.
    connections_made: u32,
    /// Until when the client reconnects if its kind is [`Misbehavior::AgainAtOnce`].
    reconnect_until: Micros,
    /// When the proxy must have answered or closed the connection.
    answer_due: Micros,
    done: bool,
}

impl ScriptedClient {
    fn handle_connected(&mut self, io: &mut Io<ClientReport>) {
        self.connected = true;
        let answer_within = if self.kind == Misbehavior::Huge { ANSWER_WITHIN_HUGE } else { ANSWER_WITHIN };
        let now = io.now();
        self.answer_due = now + answer_within;
        io.report(ClientReport::Observed(
            now,
            Seen::RudeCame { rude: self.index, proxy: self.proxy, by: self.answer_due },
        ));
        for request in std::mem::take(&mut self.script.request_ids) {
            let (rude, proxy) = (self.index, self.proxy);
            io.report(ClientReport::Observed(now, Seen::RudeAsked { rude, request, proxy }));
        }
        io.timer(self.answer_due + LATE_ANSWER_WINDOW, self.key, 0);
        if self.connections_made == 0 {
            self.reconnect_until = now + RECONNECT_PERIOD;
        }
        self.connections_made += 1;
    }

    /// Writes as much of the script as the socket takes.
    fn write_script(&mut self, io: &mut Io<ClientReport>) {
        let mut written = 0;
        loop {
            // A write error is ignored: the next read reports the broken connection.
            if !matches!(self.stream.flush(), Ok(true)) {
                return;
            }
            if written >= MAX_BYTES_PER_TURN {
                return io.call_again(self.key, Half::Near);
            }
            match self.script.push_next(&mut self.stream) {
                Some(length) => written += length,
                None => return,
            }
        }
    }

    fn finish_connection(&mut self, io: &mut Io<ClientReport>, how: MisbehaviorOutcome) {
        io.report(ClientReport::Observed(io.now(), Seen::RudeOver { rude: self.index, how }));
        let not_served = how != MisbehaviorOutcome::Served;
        self.done = !(self.kind == Misbehavior::AgainAtOnce && not_served && io.now() < self.reconnect_until);
        if !self.done {
            self.reconnect(io);
        }
    }

    fn reconnect(&mut self, io: &mut Io<ClientReport>) {
        let address = self.shared.addresses.proxy(self.proxy);
        match LineStream::connect(address, io, self.key, Half::Near) {
            Ok(stream) => {
                self.stream = stream;
                self.connected = false;
                self.script = build_script(
                    &self.shared.plan,
                    self.kind,
                    self.seed,
                    self.index,
                    self.connections_made,
                    None,
                );
                io.timer(io.now() + ANSWER_WITHIN, self.key, 0);
            }
            Err(_) => self.done = true,
        }
    }
}

impl Connection for ScriptedClient {
    type Report = ClientReport;

    fn readable(&mut self, io: &mut Io<ClientReport>, half: Half) {
        if !self.connected {
            return;
        }
        let fill = self.stream.fill();
        match self.stream.take_line() {
            Ok(Some(line)) if line.starts_with(b"UP ") => {
                return self.finish_connection(io, MisbehaviorOutcome::Served);
            }
            Ok(Some(_)) | Err(TooLong) => return self.finish_connection(io, MisbehaviorOutcome::Error),
            Ok(None) => {}
        }
        match fill {
            Fill::Blocked => self.write_script(io),
            Fill::More => io.call_again(self.key, half),
            Fill::Ended | Fill::Broken(_) => self.finish_connection(io, MisbehaviorOutcome::Closed),
        }
    }

    fn writable(&mut self, io: &mut Io<ClientReport>, half: Half) {
        if !self.connected {
            match self.stream.connected() {
                Ok(true) => {
                    self.handle_connected(io);
                    io.call_again(self.key, half);
                }
                Ok(false) => return,
                // No connection was established.
                Err(_) => {
                    self.done = true;
                    return;
                }
            }
        }
        self.write_script(io);
    }

    fn timer(&mut self, io: &mut Io<ClientReport>, _: u32) {
        // Guards against timers of earlier connections.
        if io.now() >= self.answer_due + LATE_ANSWER_WINDOW {
            self.done = true;
        }
    }

    fn done(&self) -> bool {
        self.done
    }
}

/// Runs the misbehaving clients until the board stops the run, and returns the observations. A client does not connect
/// if no proxy is admitted or if there is no open request whose id it could use.
///
/// # Errors
///
/// If the system cannot create a poll instance, or polling fails.
pub fn run(plan: Arc<Plan>, addresses: Arc<Addresses>, board: Arc<Board>) -> io::Result<Vec<Observation>> {
    let mut reactor: Reactor<ScriptedClient> = Reactor::new(board.clock.for_loop())?;
    let shared = Rc::new(Shared { plan, addresses, board });
    let (mut notes, mut next_client) = (Notes::default(), 0);
    reactor.io.owner_timer(0, TICK_TIMER);
    shared.board.ready();
    while !shared.board.is_stopping() {
        reactor.turn()?;
        while let Some(report) = reactor.io.reports.pop_front() {
            match report {
                ClientReport::Observed(at, seen) => notes.note(at, seen),
                ClientReport::Timer(TICK_TIMER) => {
                    let now = reactor.io.now();
                    while shared.plan.rude.get(next_client).is_some_and(|rude| rude.arrives <= now) {
                        start_client(&mut reactor, &shared, next_client as u32);
                        next_client += 1;
                    }
                    reactor.io.owner_timer(now + TICK_INTERVAL, TICK_TIMER);
                }
                ClientReport::Timer(_) => {}
            }
        }
    }
    Ok(notes.into_inner())
}

fn start_client(reactor: &mut Reactor<ScriptedClient>, shared: &Rc<Shared>, index: u32) {
    let Some(&crate::plan::MisbehavingClient { kind, seed, .. }) = shared.plan.rude.get(index as usize)
    else {
        return;
    };
    let stolen = (kind == Misbehavior::StolenId).then(|| shared.board.an_open_id());
    let admitted = |proxy: &ProxyId| shared.board.is_admitted(*proxy);
    let proxies: Vec<ProxyId> = (0..shared.plan.proxies.len() as u16).map(ProxyId).filter(admitted).collect();
    let proxy = match stolen {
        // Only the proxy that serves the request knows that its id is open.
        Some(open) => open.map(|(_, proxy)| proxy),
        None => proxies.get(seed as usize % proxies.len().max(1)).copied(),
    };
    let Some(proxy) = proxy else {
        log::debug!("misbehaving client {index} ({kind:?}) has no proxy to connect to");
        return;
    };
    let script = build_script(&shared.plan, kind, seed, index, 0, stolen.flatten().map(|(id, _)| id));
    let address = shared.addresses.proxy(proxy);
    let inserted = reactor.insert(|key, io| {
        let stream = LineStream::connect(address, io, key, Half::Near)?;
        let shared = Rc::clone(shared);
        let (now, done) = (io.now(), false);
        // Applies until the connection is established: the client gives up then, as if it were never answered.
        let answer_due = now + ANSWER_WITHIN;
        io.timer(answer_due + LATE_ANSWER_WINDOW, key, 0);
        let (connected, connections_made, reconnect_until) = (false, 0, now);
        Ok(Box::new(ScriptedClient {
            key,
            index,
            kind,
            seed,
            proxy,
            shared,
            stream,
            script,
            connected,
            connections_made,
            reconnect_until,
            answer_due,
            done,
        }))
    });
    if let Err(error) = inserted {
        log::debug!("misbehaving client {index} ({kind:?}) has no socket: {error}");
    }
}
