//! What the members of the peer protocols share: inputs, outputs, and the surroundings in which outputs are carried out.

use crate::member_driver::{MemberDriver, SansIoMember};
use crate::message_latency::MessageLatencies;
use cottonnotch_decision::{Event, Micros, ServerId, Settings};
use cottonnotch_gossip::{Keys, State, To};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;

/// The render nodes, as the embedder numbers them: from 0, and no number is given anew.
pub trait Servers {
    /// How many have been named so far.
    fn count(&self) -> usize;

    /// A node's name.
    fn name(&self, server: ServerId) -> &str;

    /// When its process last started; `None`: long ago.
    fn started(&self, server: ServerId) -> Option<Micros>;
}

/// What this proxy has at the moment.
pub struct LocalState<'a> {
    /// What stands where; what is told of the other proxies goes here too.
    pub delays: &'a mut MessageLatencies,
    /// The render nodes.
    pub servers: &'a dyn Servers,
    /// The module's settings.
    pub settings: &'a Settings,
    /// Requests that are owed an answer or served.
    pub rpcs: usize,
    /// What the wall clock shows, in Unix time.
    pub unix: Micros,
}

/// Whose address is whose.
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

    /// How many there are.
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

/// What happened.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A second has passed.
    Second,
    /// A datagram came in.
    Datagram {
        /// From there.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// Keys may have changed.
    Keys(Keys),
    /// The proxy leaves, its clients have been moved: the others count it no more.
    Leave,
    /// [`Peers::next_timeout`] may have come.
    Tick,
}

/// What is to be done, or to be known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram; what can't be sent is lost.
    Send {
        /// There.
        to: SocketAddr,
        /// These bytes, 256 at most.
        bytes: Vec<u8>,
    },
    /// The module is to hear this.
    Event(Event),
    /// What another proxy is believed to be has changed.
    Member {
        /// Which.
        ordinal: u32,
        /// To this.
        state: State,
        /// Which of its lives.
        life: u64,
    },
    /// Another proxy keeps the fleet's view, as far as this one knows; `None`: none answers.
    Keeper(Option<u32>),
}

/// What is around a member while its outputs are carried out.
pub(crate) struct Around<'a, 'b> {
    pub local: &'a mut LocalState<'b>,
    pub roster: &'a Roster,
    pub out: &'a mut VecDeque<Output>,
}

impl Around<'_, '_> {
    pub fn send(&mut self, to: To, bytes: Vec<u8>) {
        if let Some(to) = self.roster.address(to) {
            self.out.push_back(Output::Send { to, bytes });
        }
    }

    pub fn tell(&mut self, event: Event) {
        self.out.push_back(Output::Event(event));
    }
}

/// A member whose outputs are being carried out.
pub(crate) struct Carrying<'a, M, A> {
    pub member: &'a mut M,
    pub around: &'a mut A,
}

/// What translates for one kind of member.
pub(crate) trait Translator {
    type Member: SansIoMember;

    fn driven(&mut self) -> &mut Self::Member;

    fn translate(
        &mut self,
        now: Micros,
        output: <Self::Member as SansIoMember>::Output,
        around: &mut Around<'_, '_>,
    );
}

impl<M: Translator> MemberDriver for Carrying<'_, M, Around<'_, '_>> {
    type Member = M::Member;
    type Error = Infallible;

    fn member(&mut self) -> &mut M::Member {
        self.member.driven()
    }

    fn execute(
        &mut self,
        now: Micros,
        output: <M::Member as SansIoMember>::Output,
    ) -> Result<(), Infallible> {
        self.member.translate(now, output, self.around);
        Ok(())
    }
}
