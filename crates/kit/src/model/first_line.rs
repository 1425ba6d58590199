//! Validates the first line of a connection to a render node against the plan. Except for the value of `d`, the
//! line has to be one that a client of the plan sends.

use crate::observation::RequestId;
use crate::plan::{NodeId, Plan, SessionId};
use crate::time::{MS, Micros};
use std::collections::HashMap;

/// A first line that a client of the plan could have sent.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstLine {
    /// The id of the request.
    pub request: RequestId,
    /// The session with the key of the line; `None` if the plan has no such session, as for some misbehaving
    /// clients.
    pub session: Option<SessionId>,
    /// The time that the proxy waits for the answer.
    pub wait: Micros,
    /// The render node that held the connection before the run.
    pub at: Option<NodeId>,
}

/// The classification of a connection's first line.
#[derive(Clone, Debug, PartialEq)]
pub enum LineKind {
    /// `PING` or `STATS`.
    Probe,
    /// A valid request.
    Request(FirstLine),
    /// A line that no client sends.
    Invalid,
}

/// Finds sessions by their keys, and render nodes by their names.
#[derive(Debug)]
pub struct PlanIndex<'a> {
    plan: &'a Plan,
    sessions: HashMap<u64, SessionId>,
    nodes: HashMap<&'a str, NodeId>,
}

impl<'a> PlanIndex<'a> {
    /// Creates the index of a plan.
    pub fn new(plan: &'a Plan) -> Self {
        let sessions = plan.sessions.iter().zip(0..).map(|(s, i)| (s.key, SessionId(i))).collect();
        let nodes = plan.nodes.iter().zip(0..).map(|(n, i)| (n.name.as_str(), NodeId(i))).collect();
        PlanIndex { plan, sessions, nodes }
    }

    /// Classifies a line, which includes its line end.
    pub fn classify(&self, line: &[u8]) -> LineKind {
        match line {
            b"PING\r\n" | b"STATS\r\n" => LineKind::Probe,
            _ => self.parse_request(line).map_or(LineKind::Invalid, LineKind::Request),
        }
    }

    fn parse_request(&self, line: &[u8]) -> Option<FirstLine> {
        let text = std::str::from_utf8(line.strip_suffix(b"\r\n")?).ok()?;
        let words: Vec<&str> = text.split(' ').collect();
        let ["OPEN", id, key, names] = words[..] else { return None };
        let (request, key) = (RequestId(hex(id)?), hex(key)?);
        let mut values: Vec<(&str, &str)> = Vec::new();
        for pair in names.split(',') {
            let (name, value) = pair.split_once('=')?;
            let is_known = matches!(name, "c" | "t" | "d" | "g" | "r" | "again" | "at" | "h");
            if !is_known || value.is_empty() || values.iter().any(|(other, _)| *other == name) {
                return None;
            }
            values.push((name, value));
        }
        let value = |name: &str| values.iter().find(|(other, _)| *other == name).map(|(_, value)| *value);
        let wait = value("d").filter(|d| d.bytes().all(|b| b.is_ascii_digit()))?.parse::<u32>().ok()?;
        if wait == 0 || ["r", "again"].iter().any(|mark| value(mark).is_some_and(|set| set != "1")) {
            return None;
        }
        let at = match value("at") {
            Some(name) => Some(*self.nodes.get(name)?),
            None => None,
        };
        let session = self.sessions.get(&key).copied();
        if let Some(known) = session.and_then(|s| self.plan.sessions.get(s.0 as usize)) {
            let class = self.plan.classes.get(usize::from(known.class)).map(|class| class.name.as_str());
            let tenant = self.plan.tenants.get(usize::from(known.tenant)).map(|tenant| tenant.name.as_str());
            let matches_plan =
                value("c") == class && value("t") == tenant && hex(value("g")?)? == known.group;
            if !matches_plan {
                return None;
            }
        }
        value("c")?;
        Some(FirstLine { request, session, wait: Micros::from(wait) * MS, at })
    }
}

/// Parses 1 to 16 hexadecimal digits.
fn hex(word: &str) -> Option<u64> {
    let digits = !word.is_empty() && word.len() <= 16 && word.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(word, 16).ok()).flatten()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::testing::{first_line, plan};

    #[test]
    fn only_a_clients_line_is_valid_and_only_d_may_differ() {
        let plan = plan(2, 2, 3);
        let index = PlanIndex::new(&plan);
        let line = first_line(&plan, 1, 0xab, 700, "");
        let kind = index.classify(line.as_bytes());
        let open =
            FirstLine { request: RequestId(0xab), session: Some(SessionId(1)), wait: 700 * MS, at: None };
        assert_eq!(kind, LineKind::Request(open.clone()));
        let again = index.classify(first_line(&plan, 1, 0xab, 9, ",r=1,again=1,at=n1").as_bytes());
        assert_eq!(again, LineKind::Request(FirstLine { wait: 9 * MS, at: Some(NodeId(1)), ..open }));
        for (from, to) in [
            ("\r\n", "\n"),
            ("OPEN ", "open "),
            ("OPEN ", "OPEN  "),
            ("c=look", "c=edit"),
            ("c=look", "c=nothing"),
            ("c=look,", ""),
            ("t=acme", "t=other"),
            ("d=700", "d=0"),
            ("d=700", "d=+7"),
            ("d=700", "d=700,d=700"),
            ("g=", "g=1"),
            ("d=700", "d=700,x=1"),
            ("d=700", "d=700,r=0"),
            ("d=700", "d=700,at=nobody"),
        ] {
            assert!(line.contains(from));
            assert_eq!(
                index.classify(line.replace(from, to).as_bytes()),
                LineKind::Invalid,
                "{from} -> {to}"
            );
        }
        assert_eq!(index.classify(b"PING\r\n"), LineKind::Probe);
        let unknown_key = line.replace(&format!("{:016x}", plan.sessions[1].key), "77");
        assert!(matches!(
            index.classify(unknown_key.as_bytes()),
            LineKind::Request(FirstLine { session: None, .. })
        ));
    }
}
