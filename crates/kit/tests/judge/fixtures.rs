//! A small plan, and a builder for traces of observations. Times are in milliseconds.

use cottonnotch_kit::judge::{Judge, Outcome, Rule, Verdict};
use cottonnotch_kit::observation::{
    Answer, Attempt, AttemptEnd, ClientClose, Condition, MisbehaviorOutcome, NodeAnswer, Observation,
    ProxyClose, RequestId, Seen, Signal, SlowStart,
};
use cottonnotch_kit::plan::Phase;
use cottonnotch_kit::plan::{
    Class, Demands, Front, Habits, MisbehavingClient, Misbehavior, Network, Node, NodeId, Plan, Proxy,
    ProxyId, Rules, Session, SessionId, Tenant,
};
use cottonnotch_kit::time::{MS, S};
use std::sync::Arc;

/// End of the run, in milliseconds.
pub const ENDS: i64 = 60_000;

pub fn plan(sessions: usize) -> Plan {
    let class = |name: &str, worth| {
        let (setup_aim, deadline, message_aim) = (300 * MS, S, 150 * MS);
        Class { name: name.into(), setup_aim, deadline, message_aim, worth }
    };
    let tenant = |name: &str, quota| Tenant {
        name: name.into(),
        share: 0.5,
        quota_connections: quota,
        quota_per_s: 9.0,
    };
    let node = |i: usize| Node {
        name: format!("node-{i}"),
        zone: 0,
        cell: 0,
        kind: "std".into(),
        size: 1.0,
        capacity: 1.0,
        connections_per_unit: 20.0,
        connections_max: 100,
        setups_max: 10,
        setup_work: 0.002,
        setup_wait: MS,
        group_cost: 0.0,
        message: MS,
        bursty: 1.0,
        buffer: S,
        cold_from: 0.3,
        warm_up: 9 * S,
        from_start: true,
        seed: 1,
    };
    let proxy = |i: usize| Proxy { name: format!("n{i}"), zone: 0, sockets: 1024, memory_mb: 192, seed: 1 };
    let session = |i: usize| Session {
        arrives: 0,
        life: 60 * S,
        class: (i % 2) as u8,
        tenant: (i / 2 % 2) as u8,
        zone: 0,
        key: i as u64,
        group: i as u64,
        loads: vec![(0, 0.05)],
        patience: 1.0,
        seed: i as u64,
    };
    let kinds = [Misbehavior::Silent, Misbehavior::StolenId, Misbehavior::NoSuchClass];
    Plan {
        name: "stage".into(),
        seed: 7,
        measured_from: 0,
        ends: ENDS * MS,
        zones: vec!["a".into()],
        classes: vec![class("view", 1.0), class("export", 3.0)],
        tenants: vec![tenant("pampa", 3.0), tenant("coral", 1000.0)],
        nodes: (0..6).map(node).collect(),
        proxies: (0..2).map(proxy).collect(),
        sessions: (0..sessions).map(session).collect(),
        rude: kinds.map(|kind| MisbehavingClient { arrives: 0, kind, seed: 1 }).into(),
        timeline: vec![],
        habits: Habits {
            line_every: 2 * S,
            tries: 3,
            backoff: 50 * MS,
            sulk: S,
            honour: 0.5,
            rejoin: (60 * MS, 1700 * MS),
            marks_retry: true,
        },
        front: Front { every: S, notice: 2 * S, leaves_after: 300 * MS },
        network: Network {
            node_ms: (0.2, 1.0),
            datagram: (MS, 30 * MS),
            loss: 0.0,
            datagrams: true,
            liars: Vec::new(),
        },
        rules: Rules {
            answer_slack: 8 * MS,
            stop_within: S,
            ask_within: 10 * S,
            told_within: 6 * S,
            fall_multiple: 3.0,
            fall_window: 2 * S,
            cold_from: 0.3,
            warm_up: 9 * S,
            line_held: S,
            ended_within: S,
            silent_within: 7 * S,
            attempts: 3,
            connect_timeout: 250 * MS,
            retry_after_max: S,
            grace: 50 * MS,
            term_to_kill: 3700 * MS,
        },
        demands: Demands::default(),
        wall_steps: Vec::new(),
    }
}

pub fn judge_to(plan: &Plan, trace: &Trace, end_ms: i64) -> Verdict {
    let mut judge = Judge::new(Arc::new(plan.clone()));
    trace.sorted().iter().for_each(|o| judge.observe(o));
    judge.finish(end_ms * MS)
}

pub fn judge(trace: &Trace) -> Verdict {
    judge_to(&plan(60), trace, ENDS)
}

#[track_caller]
pub fn assert_passes(trace: &Trace) {
    let verdict = judge(trace);
    assert_eq!(verdict.outcome, Outcome::Passed, "{verdict}");
}

/// Asserts that the judge finds exactly one violation, of this rule.
#[track_caller]
pub fn assert_violates(rule: Rule, trace: &Trace) -> Verdict {
    let verdict = judge(trace);
    assert_eq!(verdict.outcome, Outcome::Failed, "expected a violation of {rule}: {verdict}");
    assert_eq!(
        verdict.violations.iter().map(|(r, n)| (*r, *n)).collect::<Vec<_>>(),
        [(rule, 1)],
        "{verdict}"
    );
    verdict
}

/// The ids of one request and its connection.
#[derive(Clone, Copy, Debug)]
pub struct RequestIds {
    pub request: RequestId,
    pub session: SessionId,
    pub proxy: ProxyId,
    pub attempt: Attempt,
}

pub fn request_ids(request: u64, proxy: u16, node: u16) -> RequestIds {
    let attempt = Attempt { node: NodeId(node), serial: request as u32 * 10 };
    RequestIds {
        request: RequestId(request),
        session: SessionId(request as u32 % 50),
        proxy: ProxyId(proxy),
        attempt,
    }
}

impl RequestIds {
    pub fn receipt(&self) -> u64 {
        1_000_000 + self.request.0
    }

    /// The same request with attempt number `n`, at the given render node.
    pub fn with_attempt(&self, n: u32, node: u16) -> RequestIds {
        RequestIds { attempt: Attempt { node: NodeId(node), serial: self.attempt.serial + n }, ..*self }
    }
}

/// A trace of a connection that is established from 1 s to 20 s, with a line every 2 s.
pub fn established() -> (Trace, RequestIds) {
    let (mut trace, ids) = (Trace::default(), request_ids(1, 0, 0));
    trace.up(1000.0, ids);
    for n in 0..9 {
        trace.line_round_trip(2000.0 + 2000.0 * f64::from(n), ids, n);
    }
    trace.client_done(20_000.0, ids);
    (trace, ids)
}

/// Observations with their times in milliseconds, not sorted.
#[derive(Clone, Debug, Default)]
pub struct Trace(pub Vec<(f64, Seen)>);

impl Trace {
    pub fn add(&mut self, at: f64, seen: Seen) -> &mut Self {
        self.0.push((at, seen));
        self
    }

    pub fn sorted(&self) -> Vec<Observation> {
        let mut all: Vec<Observation> = self
            .0
            .iter()
            .map(|(at, seen)| Observation { at: (at * 1e3) as i64, seen: seen.clone() })
            .collect();
        all.sort_by_key(|o| o.at);
        all
    }

    pub fn without(&self, drop: impl Fn(&Seen) -> bool) -> Trace {
        Trace(self.0.iter().filter(|(_, seen)| !drop(seen)).cloned().collect())
    }

    pub fn with(&self, at: f64, seen: Seen) -> Trace {
        let mut trace = self.clone();
        trace.add(at, seen);
        trace
    }

    pub fn submitted(&mut self, at: f64, ids: RequestIds) -> &mut Self {
        let deadline = (at * 1e3) as i64 + S;
        self.add(at, Seen::Asked { request: ids.request, session: ids.session, proxy: ids.proxy, deadline })
    }

    pub fn attempt(&mut self, at: f64, ids: RequestIds) -> &mut Self {
        let first_byte = (at * 1e3) as i64 - 100;
        self.add(
            at,
            Seen::Attempt {
                attempt: ids.attempt,
                request: ids.request,
                session: Some(ids.session),
                proxy: ids.proxy,
                first_byte,
            },
        )
    }

    pub fn node_answers(&mut self, at: f64, ids: RequestIds, answer: NodeAnswer) -> &mut Self {
        self.add(at, Seen::AttemptAnswered { attempt: ids.attempt, answer })
    }

    pub fn attempt_ended(&mut self, at: f64, ids: RequestIds, over: AttemptEnd) -> &mut Self {
        self.add(at, Seen::AttemptOver { attempt: ids.attempt, over })
    }

    pub fn answered(&mut self, at: f64, ids: RequestIds, answer: Answer) -> &mut Self {
        self.add(at, Seen::Answered { request: ids.request, answer })
    }

    pub fn proxy_closed(&mut self, at: f64, ids: RequestIds) -> &mut Self {
        self.add(at, Seen::Ended { request: ids.request, how: ProxyClose::Closed })
    }

    pub fn moved(&mut self, at: f64, ids: RequestIds) -> &mut Self {
        self.add(at, Seen::Moved { request: ids.request })
    }

    pub fn client_closed(&mut self, at: f64, ids: RequestIds, why: ClientClose) -> &mut Self {
        self.add(at, Seen::Left { request: ids.request, why })
    }

    /// Adds a request that the render node and then the proxy reject.
    pub fn rejected(&mut self, at: f64, ids: RequestIds) -> &mut Self {
        self.submitted(at, ids).attempt(at + 1.0, ids).node_answers(at + 2.0, ids, NodeAnswer::Busy);
        self.attempt_ended(at + 2.0, ids, AttemptEnd::Cut)
            .answered(at + 3.0, ids, Answer::Busy(0))
            .proxy_closed(at + 3.0, ids)
    }

    /// Adds a request that is answered `UP` after 10 ms.
    pub fn up(&mut self, at: f64, ids: RequestIds) -> &mut Self {
        self.submitted(at, ids).attempt(at + 1.0, ids).node_answers(
            at + 9.0,
            ids,
            NodeAnswer::Up(ids.receipt()),
        );
        self.answered(at + 10.0, ids, Answer::Up(ids.receipt()))
    }

    /// Adds a line that is delivered and returned.
    pub fn line_round_trip(&mut self, at: f64, ids: RequestIds, line: u32) -> &mut Self {
        self.add(at, Seen::LineSent { request: ids.request, line });
        self.add(at + 0.3, Seen::LineAtNode { attempt: ids.attempt, line });
        self.add(at + 1.0, Seen::LineReturned { attempt: ids.attempt, line });
        self.add(at + 1.3, Seen::LineBack { request: ids.request, line })
    }

    /// Adds the client's orderly close of its connection.
    pub fn client_done(&mut self, at: f64, ids: RequestIds) -> &mut Self {
        self.attempt_ended(at, ids, AttemptEnd::ByProxy).client_closed(at + 0.5, ids, ClientClose::Done)
    }

    pub fn listed(&mut self, at: f64, node: u16, phase: Phase) -> &mut Self {
        self.add(at, Seen::Listed { node: NodeId(node), phase })
    }

    pub fn notified(&mut self, at: f64, proxy: u16, node: u16, phase: Phase) -> &mut Self {
        self.add(at, Seen::Told { proxy: ProxyId(proxy), node: NodeId(node), phase })
    }

    pub fn watching(&mut self, at: f64, proxy: u16, on: bool) -> &mut Self {
        self.add(at, Seen::Watching { proxy: ProxyId(proxy), on })
    }

    pub fn condition(&mut self, at: f64, node: u16, condition: Condition) -> &mut Self {
        self.add(at, Seen::Condition { node: NodeId(node), condition })
    }

    pub fn slow_start(&mut self, at: f64, node: u16) -> &mut Self {
        let cold = SlowStart { joins_per_s: 5.0, from: 0.4, warm_up: 10 * S };
        self.add(at, Seen::Started { node: NodeId(node), cold: Some(cold) })
    }

    pub fn started(&mut self, at: f64, proxy: u16) -> &mut Self {
        self.add(at, Seen::ProxyStarted { proxy: ProxyId(proxy), pid: 1 })
    }

    pub fn signal(&mut self, at: f64, proxy: u16, signal: Signal) -> &mut Self {
        self.add(at, Seen::ProxySignalled { proxy: ProxyId(proxy), signal })
    }

    pub fn exited(&mut self, at: f64, proxy: u16, code: Option<i32>) -> &mut Self {
        self.add(at, Seen::ProxyExited { proxy: ProxyId(proxy), code })
    }

    pub fn misbehaving_client(&mut self, at: f64, rude: u32, proxy: u16) -> &mut Self {
        let by = (at * 1e3) as i64 + 2 * S;
        self.add(at, Seen::RudeCame { rude, proxy: ProxyId(proxy), by })
    }

    pub fn misbehaving_client_answered(&mut self, at: f64, rude: u32, how: MisbehaviorOutcome) -> &mut Self {
        self.add(at, Seen::RudeOver { rude, how })
    }
}
