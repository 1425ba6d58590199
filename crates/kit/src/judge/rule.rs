//! The rules that a run is judged by.

use serde::{Serialize, Serializer};
use std::fmt;

/// A rule, as a proxy can break it. Sources: PROTOCOL "The rules on sockets" and "Figures", WIRE "RULES", DEPLOY.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// WIRE, rule 1.
    OneFinalAnswer,
    /// PROTOCOL: serving with anything that no render node made for the request.
    InventedAnswer,
    /// WIRE, rule 2, where no parallel tries are allowed.
    TwoAttempts,
    /// WIRE, `policyLimits.mostTries`.
    TooManyAttempts,
    /// WIRE, rule 3.
    SendAfterDrain,
    /// WIRE, rule 4.
    SlowStartBudget,
    /// PROTOCOL: cutting a connection off while its render node still answers.
    CutWithoutMove,
    /// PROTOCOL: holding back a line.
    LineDelayed,
    /// PROTOCOL: lines pass both ways unchanged.
    LineChanged,
    /// PROTOCOL, "Figures".
    EndedConnectionOpen,
    /// PROTOCOL, "Figures".
    SilentConnectionOpen,
    /// BENCH: clients that break the protocol get an error or a close.
    MisbehavingClientUnanswered,
    /// The same.
    MisbehavingClientServed,
    /// PROTOCOL, "Proxies to render nodes".
    BadFirstLine,
    /// DEPLOY: a program that exits has crashed.
    ProxyCrashed,
    /// PROTOCOL: what is still there at SIGKILL.
    ShutdownOverrun,
    /// PROTOCOL, "Between proxies".
    OversizedDatagram,
}

impl Rule {
    /// All of them, in the order of a report.
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

    /// Its name in reports.
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

    /// What it asks of a proxy, in one sentence.
    pub fn meaning(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => {
                "Each request that a proxy has taken gets exactly one final answer, in time."
            }
            Rule::InventedAnswer => {
                "An UP that a client reads is one that a render node gave for this very request."
            }
            Rule::TwoAttempts => "A request never has two attempts out together.",
            Rule::TooManyAttempts => "A request gets no more attempts than the settings allow.",
            Rule::SendAfterDrain => "Nothing new goes to a render node once its drain or removal was told.",
            Rule::SlowStartBudget => "All proxies together send a cold render node no more than it bears.",
            Rule::CutWithoutMove => "No connection is cut without MOVE while its render node still answers.",
            Rule::LineDelayed => "No line is held back.",
            Rule::LineChanged => "Lines pass both ways unchanged, in order, and none is made up.",
            Rule::EndedConnectionOpen => {
                "A connection that its render node has ended is ended or moved soon."
            }
            Rule::SilentConnectionOpen => "A connection that returns nothing is ended or moved in time.",
            Rule::MisbehavingClientUnanswered => "A rude client gets an error or a close in time.",
            Rule::MisbehavingClientServed => "A rude client is not served.",
            Rule::BadFirstLine => {
                "A first line that a render node gets is one that a client put to that proxy."
            }
            Rule::ProxyCrashed => "A proxy runs until it is told to stop, and then exits with code 0.",
            Rule::ShutdownOverrun => "A proxy that was told to stop is gone in time.",
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
