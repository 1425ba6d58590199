//! Types that both peer protocols use: the inputs and outputs of [`crate::Peers`], and the environment in which a protocol
//! member's outputs are executed.

use crate::member_driver::{MemberDriver, SansIoMember};
use crate::message_latency::MessageLatencies;
use cottonnotch_decision::{Event, Micros, ServerId, Settings};
use cottonnotch_gossip::{Keys, State, To};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;

/// The render nodes, which the embedder numbers from 0. A number is never reused.
pub trait Servers {
    /// Returns the number of render nodes seen so far.
    fn count(&self) -> usize;

    /// Returns a render node's name.
    fn name(&self, server: ServerId) -> &str;

    /// Returns when the node's process last started, by this process's clock. `None` if it is unknown or long ago.
    fn started(&self, server: ServerId) -> Option<Micros>;
}

/// This proxy's own state, which it reports to its peers.
pub struct LocalState<'a> {
    /// The latency estimates, which hold this proxy's connections and loads and also store the peers' reports.
    pub latencies: &'a mut MessageLatencies,
    /// The render nodes.
    pub servers: &'a dyn Servers,
    /// The decision module's settings.
    pub settings: &'a Settings,
    /// Number of requests that are pending or have an established connection.
    pub requests: usize,
    /// The wall clock's Unix time, in microseconds.
    pub unix: Micros,
}

/// The members' addresses and ordinals.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    ordinals: BTreeMap<SocketAddr, u32>,
}

impl Roster {
    /// Creates a roster from the members' addresses in the order of their ordinals, and the address that reaches all members, if
    /// there is one.
    pub fn new(peers: &[SocketAddr], all: Option<SocketAddr>) -> Self {
        let ordinals = (0..).zip(peers).map(|(ordinal, address)| (*address, ordinal)).collect();
        Roster { peers: peers.to_vec(), all, ordinals }
    }

    /// Returns the number of members.
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
    /// A second has passed, so the member reads the local state again.
    EverySecond,
    /// A datagram arrived.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The datagram's bytes.
        bytes: &'a [u8],
    },
    /// The keys were read again and may have changed.
    Keys(Keys),
    /// The proxy shuts down and has moved its clients. The peers stop counting its load.
    Leave,
    /// [`crate::Peers::next_timeout`] may have passed.
    Tick,
}

/// An output of [`crate::Peers`]: an action to take or a change to report.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram. A datagram that cannot be sent is dropped.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The datagram, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// An event for the decision module.
    Event(Event),
    /// This proxy's view of another proxy's state has changed.
    Member {
        /// The proxy's ordinal.
        ordinal: u32,
        /// The proxy's new state.
        state: State,
        /// The proxy's incarnation.
        incarnation: u64,
    },
    /// This proxy's view of the current aggregator has changed. `None` if no aggregator answers.
    Aggregator(Option<u32>),
}

/// The environment in which a member's outputs are executed.
pub(crate) struct Environment<'a, 'b> {
    pub local: &'a mut LocalState<'b>,
    pub roster: &'a Roster,
    pub outputs: &'a mut VecDeque<Output>,
}

impl Environment<'_, '_> {
    /// Queues a datagram. A datagram to an ordinal that is not in the roster is dropped.
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

/// A member of one protocol. It translates the outputs of its sans-io member into outputs of [`crate::Peers`].
pub(crate) trait ProtocolMember {
    /// The protocol's sans-io member.
    type Member: SansIoMember;

    /// Returns the sans-io member.
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
