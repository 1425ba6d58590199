//! Identifies the parties that a violation concerns, and selects the observations that relate to them.

use crate::observation::{Attempt, RequestId, Seen};
use crate::plan::{NodeId, ProxyId, SessionId};

/// The longest datagram, in bytes (PROTOCOL, "Between proxies").
pub(super) const MAX_DATAGRAM_BYTES: u32 = 256;

/// The parties that a violation concerns, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Subject {
    pub request: Option<RequestId>,
    pub session: Option<SessionId>,
    pub node: Option<NodeId>,
    pub proxy: Option<ProxyId>,
    /// The misbehaving client, by its index in the plan.
    pub misbehaving_client: Option<u32>,
    /// Attempts of the request.
    pub attempts: Vec<Attempt>,
}

/// How an observation relates to a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Relation {
    /// The observation concerns the request itself, or the party that violates a rule without a request.
    Direct,
    /// The observation concerns the state of the render node, the proxy, discovery or the scenario.
    Related,
    /// The observation does not concern the subject.
    Unrelated,
}

impl Subject {
    /// How an observation relates to the subject.
    pub fn relation(&self, seen: &Seen) -> Relation {
        let direct = |matches: bool| if matches { Relation::Direct } else { Relation::Unrelated };
        let related = |matches: bool| if matches { Relation::Related } else { Relation::Unrelated };
        let (node, proxy) = (self.node, self.proxy);
        match seen {
            Seen::Asked { request, .. }
            | Seen::Answered { request, .. }
            | Seen::Moved { request }
            | Seen::Ended { request, .. }
            | Seen::Left { request, .. }
            | Seen::LineSent { request, .. }
            | Seen::LineBack { request, .. } => direct(self.request == Some(*request)),
            // A violation without a request (slow start) concerns every attempt at the render node.
            Seen::Attempt { attempt, request, .. } => {
                direct(self.request.map_or(node == Some(attempt.node), |own| own == *request))
            }
            Seen::AttemptAnswered { attempt, .. }
            | Seen::AttemptOver { attempt, .. }
            | Seen::LineAtNode { attempt, .. }
            | Seen::LineReturned { attempt, .. } => direct(self.attempts.contains(attempt)),
            Seen::RudeCame { rude, .. } | Seen::RudeOver { rude, .. } => {
                direct(self.misbehaving_client == Some(*rude))
            }
            Seen::BadFirstLine { proxy: p, .. } => direct(self.request.is_none() && proxy == Some(*p)),
            Seen::Datagram { from, bytes, .. } => direct(*bytes > MAX_DATAGRAM_BYTES && proxy == Some(*from)),
            Seen::Started { node: n, .. }
            | Seen::Condition { node: n, .. }
            | Seen::Fell { node: n }
            | Seen::Listed { node: n, .. } => related(node == Some(*n)),
            Seen::Told { proxy: p, node: n, .. } => {
                related(node == Some(*n) && proxy.is_none_or(|own| own == *p))
            }
            Seen::Reach { proxy: p, node: n, .. } => related(node == Some(*n) && proxy == Some(*p)),
            Seen::Watching { proxy: p, .. }
            | Seen::ProxyStarted { proxy: p, .. }
            | Seen::ProxySignalled { proxy: p, .. }
            | Seen::ProxyExited { proxy: p, .. } => related(proxy == Some(*p)),
            Seen::DiscoveryUp { .. } | Seen::Mark { .. } => Relation::Related,
            _ => Relation::Unrelated,
        }
    }
}
