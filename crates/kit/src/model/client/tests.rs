//! Scripted cases and properties of a session on virtual time.

use super::*;
use crate::observation::Answer;
use crate::testing::{plan, session};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The script of a connection: each line is read this many milliseconds after the first line was written. `!refuse`
/// takes place instead of the connection; `!close`, `!reset` and `!drop` are events. The client's own lines are
/// returned after `echo` milliseconds.
type ConnectionScript<'a> = &'a [(i64, &'a str)];

struct Simulation<'a> {
    session: Session,
    connections: Vec<ConnectionScript<'a>>,
    echo: Option<i64>,
    admitted: bool,
    /// Timers fire this much late.
    timer_lag: Micros,
    /// The pending events, each with the number of its connection; `None` applies to any connection.
    events: BTreeMap<(Micros, usize), (Option<usize>, String)>,
    connection_number: usize,
    connected: bool,
    out: Vec<(Micros, Output)>,
}

impl<'a> Simulation<'a> {
    fn new(plan: Plan, connections: &[ConnectionScript<'a>], echo: Option<i64>) -> Self {
        let session = Session::new(&Arc::new(plan), SessionId(0)).unwrap();
        let (events, out) = (BTreeMap::new(), Vec::new());
        let connections = connections.to_vec();
        Simulation {
            session,
            connections,
            echo,
            admitted: true,
            timer_lag: 0,
            events,
            connection_number: 0,
            connected: false,
            out,
        }
    }

    fn schedule(&mut self, at: Micros, what: &str) {
        self.events.insert(
            (at, self.events.len() + 1000 * self.out.len()),
            (Some(self.connection_number), what.to_owned()),
        );
    }

    fn apply(&mut self, now: Micros, what: &str) {
        let input = match what {
            "!due" => Input::Due,
            "!connected" => Input::Connected,
            "!written" => Input::Written,
            "!refuse" => Input::Unreached,
            "!close" => Input::Ended(ProxyClose::Closed),
            "!reset" => Input::Ended(ProxyClose::Reset),
            "!drop" => Input::Drop { share: 1.0, back_within: 0, seed: 3 },
            "!stop" => Input::Stop,
            line => Input::Line(line.as_bytes()),
        };
        let (mut out, admitted) = (Vec::new(), self.admitted);
        self.session.handle(now, input, &|_| admitted, &mut out);
        assert!(
            self.session.series_attempts <= self.session.plan.habits.tries.max(1),
            "too many attempts in a series"
        );
        for output in &out {
            match output {
                Output::Connect(_) => {
                    assert!(!self.connected, "a second connection is open");
                    (self.connected, self.connection_number) = (true, self.connection_number + 1);
                    let script = self.connections.get(self.connection_number - 1).copied().unwrap_or(&[]);
                    if script.first().is_some_and(|(_, what)| *what == "!refuse") {
                        self.schedule(now + MS, "!refuse");
                    } else {
                        self.schedule(now + MS, "!connected");
                    }
                }
                Output::Send(line) if line.starts_with("OPEN") => {
                    self.schedule(now, "!written");
                    for (after, what) in
                        self.connections.get(self.connection_number - 1).copied().unwrap_or(&[])
                    {
                        self.schedule(now + after * MS, what);
                    }
                }
                Output::Send(line) => {
                    if let Some(echo) = self.echo {
                        self.schedule(now + echo * MS, line.trim_end());
                    }
                }
                Output::Finish => {
                    self.schedule(now + 5 * MS, "BYE");
                    self.schedule(now + 5 * MS, "!close");
                }
                Output::Close | Output::Reset => self.connected = false,
                Output::Record(Observation { seen: Seen::Unreached { .. }, .. }) => self.connected = false,
                Output::Record(_) => {}
            }
        }
        self.out.extend(out.into_iter().map(|output| (now, output)));
    }

    fn run_until(&mut self, until: Micros) {
        loop {
            let event = self.events.keys().next().copied().filter(|(at, _)| *at <= until);
            let due = self.session.next_timeout().map(|at| at + self.timer_lag).filter(|at| *at <= until);
            match (event, due) {
                (Some(key), due) if due.is_none_or(|due| key.0 <= due) => {
                    let (target, what) = self.events.remove(&key).unwrap();
                    if target.is_none_or(|target| self.connected && target == self.connection_number) {
                        self.apply(key.0, &what);
                    }
                }
                (_, Some(due)) => self.apply(due, "!due"),
                _ => return,
            }
        }
    }

    fn observations(&self) -> Vec<Observation> {
        let observations = self.out.iter().filter_map(|(_, output)| match output {
            Output::Record(observation) => Some(observation.clone()),
            _ => None,
        });
        observations.collect()
    }

    /// The recorded spans; adjacent spans with the same result are merged.
    fn spans(&self) -> Vec<(bool, Micros, Micros)> {
        let mut spans: Vec<(bool, Micros, Micros)> = Vec::new();
        for Observation { at, seen } in self.observations() {
            let Seen::Served { from, well, .. } = seen else { continue };
            match spans.last_mut() {
                Some((was, _, to)) if *was == well && *to == from => *to = at,
                _ => spans.push((well, from, at)),
            }
        }
        spans
    }

    /// All outputs except the client's own lines, as text with times in milliseconds.
    fn transcript(&self) -> String {
        let mut transcript = Vec::new();
        for (at, output) in &self.out {
            let at = at / MS;
            transcript.push(match output {
                Output::Connect(_) => format!("{at} connect"),
                Output::Send(line) if line.starts_with("OPEN") => {
                    let flags =
                        line.trim_end().split(',').filter(|w| !w.starts_with("t=") && !w.starts_with("g="));
                    format!("{at} {}", flags.skip(1).collect::<Vec<_>>().join(" "))
                }
                Output::Record(Observation { seen, .. }) => match seen {
                    Seen::Answered { answer, .. } => format!("{at} {answer:?}"),
                    Seen::Ended { how, .. } => format!("{at} {how:?}"),
                    Seen::Left { why, .. } => format!("{at} {why:?}"),
                    Seen::Unreached { .. } => format!("{at} Unreached"),
                    Seen::Moved { .. } => format!("{at} Moved"),
                    Seen::Garbled { line, .. } => format!("{at} Garbled {line}"),
                    _ => continue,
                },
                _ => continue,
            });
        }
        let spans = self.spans().into_iter().map(|(well, from, to)| {
            format!("{} {}..{}", if well { "well" } else { "ill" }, from / MS, to / MS)
        });
        transcript.into_iter().chain(spans).collect::<Vec<_>>().join("; ")
    }
}

fn transcript(
    change: impl FnOnce(&mut Plan),
    connections: &[ConnectionScript<'_>],
    echo: Option<i64>,
) -> String {
    let mut plan = plan(&[0], vec![session(0, 5 * S)]);
    change(&mut plan);
    let mut simulation = Simulation::new(plan, connections, echo);
    simulation.run_until(20 * S);
    assert!(simulation.session.is_over() && !simulation.connected);
    simulation.transcript()
}

#[test]
fn scripted_cases() {
    let (up, busy): (ConnectionScript, ConnectionScript) = (&[(20, "UP 1f")], &[(10, "BUSY")]);
    let first = "0 connect; 1 d=1799; ";
    // Served until its end. A late echo makes its span badly served, and so does a missing echo.
    let served = format!("{first}21 Up(31); 5000 Done; ");
    assert_eq!(transcript(|_| (), &[up], Some(10)), served.clone() + "well 21..5000");
    assert_eq!(transcript(|_| (), &[up], Some(150)), served.clone() + "well 21..5000");
    assert_eq!(transcript(|_| (), &[up], Some(151)), served.clone() + "ill 21..5000");
    assert_eq!(transcript(|_| (), &[up], None), served + "ill 21..5000");
    // Refused. Clients that honour the retry-after time wait that long.
    let connections: &[ConnectionScript] = &[&[(10, "BUSY 500")], up];
    let after = |at: i64| {
        let (open, d, up) = (at, 1800 - at - 1, at + 21);
        format!(
            "{first}11 Busy(500000); {open} connect; {} d={d} r=1; {up} Up(31); 5000 Done; well {up}..5000",
            at + 1
        )
    };
    assert_eq!(transcript(|_| (), connections, Some(1)), after(511));
    assert_eq!(transcript(|plan| plan.habits.honour = 0.0, connections, Some(1)), after(111));
    assert_eq!(
        transcript(|plan| plan.habits.marks_retry = false, connections, Some(1)),
        after(511).replace(" r=1", "")
    );
    // If the retry-after time ends after the deadline of the series, the client waits for the whole time and starts
    // a new series.
    let rest = "2511 connect; 2512 d=1799 r=1; 2532 Up(31); 5000 Done; well 2532..5000";
    let connections: &[ConnectionScript] = &[&[(10, "BUSY 2500")], up];
    assert_eq!(transcript(|_| (), connections, Some(1)), format!("{first}11 Busy(2500000); {rest}"));
    // Unanswered, with and without a late answer.
    let rest = "2800 connect; 2801 d=1799 r=1; 2821 Up(31); 5000 Done; well 2821..5000";
    let connections: &[ConnectionScript] = &[&[(1830, "UP 2")], up];
    assert_eq!(transcript(|_| (), connections, Some(1)), format!("{first}1831 Up(2); 1831 GaveUp; {rest}"));
    assert_eq!(transcript(|_| (), &[&[], up], Some(1)), format!("{first}1878 GaveUp; {rest}"));
    assert_eq!(
        transcript(|_| (), &[&[(1820, "!close")], up], Some(1)),
        format!("{first}1821 Closed; {rest}")
    );
    // An impatient client leaves at once and has time for another attempt.
    let impatient = |plan: &mut Plan| plan.sessions[0].patience = 0.5;
    let rest = "1000 connect; 1001 d=799 r=1; 1021 Up(31); 5000 Done; well 1021..5000";
    let result = transcript(impatient, &[&[(950, "UP 2")], up], Some(1));
    assert_eq!(result, format!("0 connect; 1 d=899; 900 Impatient; {rest}"));
    // Broken, moved, dropped, and closed without an answer.
    let again = |at: i64| format!("{at} connect; {} d=1799 again=1; {} Up(31); ", at + 1, at + 21);
    let spans = |at: i64, to: i64| format!("5000 Done; well 21..{to}; well {}..5000", at + 21);
    for (what, seen, back) in
        [("!close", "Closed", 1201), ("!reset", "Reset", 1201), ("!drop", "Dropped", 1001)]
    {
        let result = transcript(|_| (), &[&[(20, "UP 1f"), (1000, what)], up], Some(1));
        assert_eq!(result, format!("{first}21 Up(31); 1001 {seen}; {}{}", again(back), spans(back, 1001)));
    }
    let moved: ConnectionScript = &[(20, "UP 1f"), (1000, "MOVE"), (1002, "!close")];
    let result = transcript(|_| (), &[moved, up], Some(1));
    assert_eq!(
        result,
        format!("{first}21 Up(31); 1001 Moved; 1003 Closed; {}{}", again(1201), spans(1201, 1001))
    );
    let result = transcript(|_| (), &[&[(10, "!close")], up], Some(1));
    assert!(result.starts_with(&format!("{first}11 Closed; 111 connect; 112 d=1688 r=1; ")), "{result}");
    // After the last attempt of a series the client backs off, and the backoff doubles.
    let result = transcript(|_| (), &[busy; 9], None);
    let connects: Vec<_> = result.split("; ").filter_map(|w| w.strip_suffix(" connect")).collect();
    assert_eq!(connects.join(" "), "0 111 222 1233 1344 1455 3466 3577 3688");
    // The proxy cannot be reached.
    let result = transcript(|_| (), &[&[(0, "!refuse")], up], Some(1));
    assert!(
        result.starts_with("0 connect; 1 Unreached; 101 connect; 102 d=1698 r=1; 122 Up(31)"),
        "{result}"
    );
    // Lines that no render node or proxy should send.
    let odd: ConnectionScript =
        &[(20, "UP 1f"), (30, "ERR no"), (40, "LOAD 0.5"), (50, "LOAD much"), (60, "M 9 x"), (70, "UP 1f")];
    let result = transcript(|_| (), &[odd], Some(1));
    let seen =
        "21 Up(31); 31 Failed(\"ERR no\"); 51 Garbled LOAD much; 61 Garbled M 9 x; 71 Up(31); 5000 Done; ";
    assert_eq!(result, format!("{first}{seen}well 21..5000"));
    let result = transcript(|_| (), &[&[(10, "BUSY"), (20, "ERR twice")]], None);
    assert!(result.contains("11 Busy(0); 21 Failed(\"ERR twice\"); 111 connect"), "{result}");
    for line in ["UP", "UP x", "UP 1 2", "BUSY soon", "BUSY -1", "MOVE", "PONG"] {
        let result = transcript(|_| (), &[&[(10, line)]], None);
        assert!(result.contains(&format!("11 Failed({line:?})")), "{result}");
    }
}

#[test]
fn without_an_admitted_proxy_the_session_still_wants_a_connection() {
    let mut simulation = Simulation::new(plan(&[0], vec![session(0, 5 * S)]), &[&[(20, "UP 1")]], Some(1));
    simulation.admitted = false;
    simulation.run_until(3 * S);
    assert!(matches!(
        &simulation.observations()[..],
        [Observation { at: 0, seen: Seen::Wanted { until, .. } }] if *until == 5 * S
    ));
    simulation.admitted = true;
    simulation.run_until(20 * S);
    assert!(simulation.transcript().contains("Up(1)"));
}

#[test]
fn a_client_prefers_admitted_proxies_of_its_zone() {
    let asked = |admitted: &[u16]| {
        let mut asked = BTreeSet::new();
        for seed in 0..50 {
            let wanted = vec![Planned { zone: 1, seed, ..session(0, S) }];
            let mut session = Session::new(&Arc::new(plan(&[0, 1, 1, 0], wanted)), SessionId(0)).unwrap();
            let mut out = Vec::new();
            session.handle(0, Input::Due, &|proxy| admitted.contains(&proxy.0), &mut out);
            asked.extend(out.into_iter().filter_map(|output| match output {
                Output::Connect(proxy) => Some(proxy.0),
                _ => None,
            }));
        }
        asked.into_iter().collect::<Vec<_>>()
    };
    assert_eq!(asked(&[0, 1, 2, 3]), [1, 2]);
    assert_eq!(asked(&[0, 3]), [0, 3]);
}

#[test]
fn stopping_records_the_end_of_an_open_request() {
    for (at, last) in [(500, "Done"), (10, "Impatient")] {
        let mut simulation =
            Simulation::new(plan(&[0], vec![session(0, 5 * S)]), &[&[(20, "UP 1")]], Some(1));
        simulation.run_until(at * MS);
        simulation.apply(at * MS, "!stop");
        assert!(simulation.session.is_over() && !simulation.connected);
        assert!(simulation.transcript().contains(&format!("{at} {last}")), "{}", simulation.transcript());
    }
}

#[test]
fn a_skipped_line_is_detected() {
    let mut often = plan(&[0], vec![session(0, 20 * S)]);
    often.habits.line_every = 100 * MS;
    let mut simulation = Simulation::new(often.clone(), &[&[(20, "UP 1")]], None);
    simulation.run_until(S);
    let (request, _) = simulation.session.up().unwrap();
    let sent = |simulation: &Simulation, line| {
        let seen = |o: &Observation| (o.seen == Seen::LineSent { request, line }).then_some(o.at);
        simulation.observations().iter().find_map(seen).unwrap()
    };
    let (first, second) = (sent(&simulation, 1), lines::client_line(request, 1));
    let mut simulation = Simulation::new(often, &[&[(20, "UP 1")]], None);
    simulation.run_until(first + 10);
    simulation.apply(first + 10, second.trim_end());
    let observations = simulation.observations();
    let seen = |what: &dyn Fn(&Seen) -> bool| observations.iter().any(|o| what(&o.seen));
    assert!(seen(&|seen| *seen == Seen::LineBack { request, line: 1 }));
    assert!(seen(&|seen| matches!(seen, Seen::Garbled { .. })));
    let last: Vec<bool> = simulation.spans().into_iter().map(|(well, ..)| well).collect();
    assert_eq!(last, [false, true], "only the span of the missing line is badly served");
}

const EVENTS: [&str; 16] = [
    "UP 1",
    "BUSY",
    "BUSY 300",
    "BUSY 5000",
    "ERR",
    "MOVE",
    "BYE",
    "LOAD 1",
    "M 0 x",
    "!close",
    "!reset",
    "!drop",
    "!refuse",
    "!connected",
    "!written",
    "!due",
];

fn connection_script() -> impl Strategy<Value = Vec<(i64, &'static str)>> {
    let up = prop_oneof![Just(vec![]), (0_i64..300).prop_map(|at| vec![(at, "UP 1")])];
    let more = prop::collection::vec((0_i64..6000, prop::sample::select(&EVENTS[..])), 0..4);
    (up, more).prop_map(|(up, more)| [up, more].concat())
}

proptest! {
    #[test]
    fn invariants_hold_for_any_events(
        connections in prop::collection::vec(connection_script(), 0..12),
        anything in prop::collection::vec((0_i64..30_000, prop::sample::select(&EVENTS[..])), 0..6),
        echo in prop::option::of(0_i64..400),
        life in 1_i64..25_000,
        patience in prop_oneof![Just(1.0), 0.2..1.0],
        tries in 0_u32..5,
        timer_lag in prop_oneof![Just(0), 0..40 * MS],
    ) {
        let mut plan = plan(&[0], vec![Planned { patience, ..session(7, life * MS) }]);
        plan.habits.tries = tries;
        let until = 7 + life * MS;
        let connections: Vec<ConnectionScript> = connections.iter().map(Vec::as_slice).collect();
        let mut simulation = Simulation::new(plan, &connections, echo);
        simulation.timer_lag = timer_lag;
        for (number, (at, what)) in anything.into_iter().enumerate() {
            simulation.events.insert((at * MS, number), (None, what.to_owned()));
        }
        simulation.run_until(60 * S);
        prop_assert!(simulation.session.is_over() && !simulation.connected);

        let (mut ids, mut open, mut up_since, mut up_for) = (BTreeSet::new(), None, None, 0);
        let (mut spans_end, mut spans_total) = (0, 0);
        for Observation { at, seen } in simulation.observations() {
            let over = match seen {
                Seen::Asked { request, deadline, .. } => {
                    prop_assert!(ids.insert(request), "duplicate request id");
                    prop_assert!(open.is_none() && deadline <= until + MS && at <= deadline);
                    open = Some(request);
                    false
                }
                Seen::SetupTook { .. } => {
                    up_since = Some(at.min(until));
                    false
                }
                Seen::Answered { request, ref answer } => {
                    prop_assert!(ids.contains(&request));
                    !matches!(answer, Answer::Up(_)) && up_since.is_none()
                }
                Seen::Served { from, .. } => {
                    prop_assert!(from >= spans_end.max(7) && from < at && at <= until);
                    (spans_end, spans_total) = (at, spans_total + at - from);
                    false
                }
                Seen::Moved { .. } | Seen::Ended { .. } | Seen::Left { .. } => true,
                _ => false,
            };
            if over {
                open = None;
                up_for += up_since.take().map_or(0, |since| at.min(until) - since);
            }
        }
        prop_assert!(open.is_none(), "a request has no end");
        prop_assert_eq!(spans_total, up_for, "the spans do not cover the time up");
    }
}
