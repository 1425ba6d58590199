//! What the peer protocols share: the inputs and outputs of [`crate::Peers`], and the environment in which a protocol member's
//! outputs are executed.

use crate::member_driver::{MemberDriver, SansIoMember};
use crate::message_latency::MessageLatencies;
use cottonnotch_decision::{Event, Micros, ServerId, Settings};
use cottonnotch_gossip::{Keys, State, To};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;

/// The render nodes, as the embedder numbers them: from 0, and no number is reused.
pub trait Servers {
    /// How many have been named so far.
    fn count(&self) -> usize;

    /// A node's name.
    fn name(&self, server: ServerId) -> &str;

    /// When its process last started, by this process's clock; `None`: long ago.
    fn started(&self, server: ServerId) -> Option<Micros>;
}

/// This proxy's own state, which it reports to the others.
pub struct LocalState<'a> {
    /// Its connections and their loads; what the others report is put here too.
    pub latencies: &'a mut MessageLatencies,
    /// The render nodes.
    pub servers: &'a dyn Servers,
    /// The decision module's settings.
    pub settings: &'a Settings,
    /// Requests that are pending or served.
    pub requests: usize,
    /// What the wall clock shows, Unix time in microseconds.
    pub unix: Micros,
}

/// The members' addresses, by their ordinals.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    ordinals: BTreeMap<SocketAddr, u32>,
}

impl Roster {
    /// The members in the order of their ordinals, and the address that reaches all, if there is one.
    pub fn new(peers: &[SocketAddr], all: Option<SocketAddr>) -> Self {
        let ordinals = (0..).zip(peers).map(|(ordinal, address)| (*address, ordinal)).collect();
        Roster { peers: peers.to_vec(), all, ordinals }
    }

    /// How many members there are.
    pub fn members(&self) -> usize {
        self.peers.len()
    }

    pub(crate) fn ordinal(&self, address: SocketAddr) -> Option<u32> {
        self.ordinals.get(&address).copied()
    }

    fn address(&self, to: To) -> Option<SocketAddr> {
        match to {
            To::One(ordinal) => self.peers.get(ordinal as usize).copied(),
            To::All => self.all,
        }
    }
}

/// An input to [`crate::Peers`].
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A second has passed: local state is read anew.
    EverySecond,
    /// A datagram arrived.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// Keys may have changed.
    Keys(Keys),
    /// The proxy shuts down and its clients have been moved: the others count it no more.
    Leave,
    /// [`crate::Peers::next_timeout`] may have passed.
    Tick,
}

/// An output of [`crate::Peers`]: an action, or news.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram; if that fails it is lost.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The datagram, 256 bytes at most.
        bytes: Vec<u8>,
    },
    /// An event for the decision module.
    Event(Event),
    /// The believed state of another proxy has changed.
    Member {
        /// The proxy's ordinal.
        ordinal: u32,
        /// Its state from now on.
        state: State,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Another proxy is the aggregator, as far as this one knows; `None`: none answers.
    Aggregator(Option<u32>),
}

/// The environment in which a member's outputs are executed.
pub(crate) struct Environment<'a, 'b> {
    pub local: &'a mut LocalState<'b>,
    pub roster: &'a Roster,
    pub outputs: &'a mut VecDeque<Output>,
}

impl Environment<'_, '_> {
    /// Queues a datagram. One to an ordinal that the roster doesn't have is dropped.
    pub fn send(&mut self, to: To, bytes: Vec<u8>) {
        if let Some(to) = self.roster.address(to) {
            self.outputs.push_back(Output::Send { to, bytes });
        }
    }

    /// Queues an event for the decision module.
    pub fn notify(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }
}

/// A member of one protocol, whose outputs become those of [`crate::Peers`].
pub(crate) trait ProtocolMember {
    /// The protocol's sans-io member.
    type Member: SansIoMember;

    /// The sans-io member.
    fn member(&mut self) -> &mut Self::Member;

    /// Executes one output of the sans-io member.
    fn translate(
        &mut self,
        now: Micros,
        output: <Self::Member as SansIoMember>::Output,
        environment: &mut Environment<'_, '_>,
    );
}

/// Drives a protocol member in an environment.
pub(crate) struct ProtocolDriver<'a, M, E> {
    pub member: &'a mut M,
    pub environment: &'a mut E,
}

impl<M: ProtocolMember> MemberDriver for ProtocolDriver<'_, M, Environment<'_, '_>> {
    type Member = M::Member;
    type Error = Infallible;

    fn member(&mut self) -> &mut M::Member {
        self.member.member()
    }

    fn execute(
        &mut self,
        now: Micros,
        output: <M::Member as SansIoMember>::Output,
    ) -> Result<(), Infallible> {
        self.member.translate(now, output, self.environment);
        Ok(())
    }
}
