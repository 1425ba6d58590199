//! The rules that a run is judged by.

use serde::{Serialize, Serializer};
use std::fmt;

/// A rule that a proxy can violate. The comment of each names its source: PROTOCOL ("The rules on sockets" and
/// "Figures"), WIRE ("RULES"), BENCH or DEPLOY.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// WIRE, rule 1.
    OneFinalAnswer,
    /// PROTOCOL: serving with output that no render node made for the request.
    InventedAnswer,
    /// WIRE, rule 2, where no parallel attempts are allowed.
    TwoAttempts,
    /// WIRE, `policyLimits.mostTries`.
    TooManyAttempts,
    /// WIRE, rule 3.
    SendAfterDrain,
    /// WIRE, rule 4.
    SlowStartBudget,
    /// PROTOCOL: cutting a connection while its render node still responds.
    CutWithoutMove,
    /// PROTOCOL: delaying a line.
    LineDelayed,
    /// PROTOCOL: lines pass both ways unchanged.
    LineChanged,
    /// PROTOCOL, "Figures": time limit after a render node ended a connection.
    EndedConnectionOpen,
    /// PROTOCOL, "Figures": time limit after a render node became silent.
    SilentConnectionOpen,
    /// BENCH: clients that break the protocol get an error or a close.
    MisbehavingClientUnanswered,
    /// BENCH: clients that break the protocol are not served.
    MisbehavingClientServed,
    /// PROTOCOL, "Proxies to render nodes".
    BadFirstLine,
    /// DEPLOY: a process that exits without a signal to stop has crashed.
    ProxyCrashed,
    /// PROTOCOL: a process that still runs at its shutdown deadline, when SIGKILL is sent.
    ShutdownOverrun,
    /// PROTOCOL, "Between proxies".
    OversizedDatagram,
}

impl Rule {
    /// All rules, in the order in which reports list them.
    pub const ALL: [Rule; 17] = [
        Rule::OneFinalAnswer,
        Rule::InventedAnswer,
        Rule::TwoAttempts,
        Rule::TooManyAttempts,
        Rule::SendAfterDrain,
        Rule::SlowStartBudget,
        Rule::CutWithoutMove,
        Rule::LineDelayed,
        Rule::LineChanged,
        Rule::EndedConnectionOpen,
        Rule::SilentConnectionOpen,
        Rule::MisbehavingClientUnanswered,
        Rule::MisbehavingClientServed,
        Rule::BadFirstLine,
        Rule::ProxyCrashed,
        Rule::ShutdownOverrun,
        Rule::OversizedDatagram,
    ];

    /// The rule's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => "one-final-answer",
            Rule::InventedAnswer => "invented-answer",
            Rule::TwoAttempts => "two-attempts",
            Rule::TooManyAttempts => "too-many-attempts",
            Rule::SendAfterDrain => "send-after-drain",
            Rule::SlowStartBudget => "cold-budget",
            Rule::CutWithoutMove => "cut-without-move",
            Rule::LineDelayed => "line-held",
            Rule::LineChanged => "line-changed",
            Rule::EndedConnectionOpen => "ended-kept",
            Rule::SilentConnectionOpen => "silent-kept",
            Rule::MisbehavingClientUnanswered => "rude-unanswered",
            Rule::MisbehavingClientServed => "rude-served",
            Rule::BadFirstLine => "bad-first-line",
            Rule::ProxyCrashed => "proxy-crashed",
            Rule::ShutdownOverrun => "proxy-stayed",
            Rule::OversizedDatagram => "oversized-datagram",
        }
    }

    /// The requirement on a proxy, in one sentence for reports.
    pub fn requirement(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => {
                "Each request that a proxy has accepted gets exactly one final answer, in time."
            }
            Rule::InventedAnswer => {
                "An UP that a client reads was issued by a render node for the same request."
            }
            Rule::TwoAttempts => "A request never has two attempts in flight at the same time.",
            Rule::TooManyAttempts => "A request gets no more attempts than the settings allow.",
            Rule::SendAfterDrain => {
                "A render node gets no new attempts from a proxy that knows of its drain or removal."
            }
            Rule::SlowStartBudget => {
                "All proxies together send a render node in slow start no more attempts than its budget."
            }
            Rule::CutWithoutMove => "No connection is cut without MOVE while its render node still responds.",
            Rule::LineDelayed => "No line is delayed beyond the limit.",
            Rule::LineChanged => {
                "Lines are forwarded in both directions unchanged and in order, and none is invented."
            }
            Rule::EndedConnectionOpen => {
                "A connection that its render node has ended is ended or moved in time."
            }
            Rule::SilentConnectionOpen => {
                "A connection whose render node is silent is ended or moved in time."
            }
            Rule::MisbehavingClientUnanswered => "A misbehaving client gets an error or a close in time.",
            Rule::MisbehavingClientServed => "A misbehaving client is not served.",
            Rule::BadFirstLine => {
                "Each first line that a render node receives was sent by a client to the same proxy."
            }
            Rule::ProxyCrashed => "A proxy runs until it gets SIGTERM, and then exits with code 0.",
            Rule::ShutdownOverrun => "A proxy exits in time after SIGTERM.",
            Rule::OversizedDatagram => "A datagram between proxies has at most 256 bytes.",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Serialize for Rule {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}
