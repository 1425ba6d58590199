//! The collection of all other members, by ordinal.

use crate::Micros;
use crate::peer::{Peer, State};
use std::ops::{Index, IndexMut};

/// The other members. Its size is the configured number of members.
#[derive(Debug)]
pub(crate) struct Peers {
    /// This member's own ordinal, whose element in `by_ordinal` is unused.
    me: u16,
    by_ordinal: Vec<Peer>,
    /// Number of other members that are active.
    active: usize,
}

impl Peers {
    /// Creates an empty collection.
    pub(crate) fn new(me: u16) -> Self {
        Peers { me, by_ordinal: Vec::new(), active: 0 }
    }

    /// Sets the number of members, including this one. Members that stay keep their state.
    pub(crate) fn resize(&mut self, members: u16, now: Micros, datagrams_per_s: u32) {
        self.by_ordinal.resize_with(members.into(), || Peer::new(now, datagrams_per_s));
        self.active = self.ordinals().filter(|other| self[*other].state.is_active()).count();
    }

    /// Returns the configured number of members, including this one.
    pub(crate) fn members(&self) -> usize {
        self.by_ordinal.len()
    }

    /// Returns whether a member with this ordinal is configured.
    pub(crate) fn contains(&self, ordinal: u16) -> bool {
        usize::from(ordinal) < self.by_ordinal.len()
    }

    /// Returns the ordinals of the other members.
    pub(crate) fn ordinals(&self) -> impl Iterator<Item = u16> + use<> {
        let me = self.me;
        (0..self.by_ordinal.len() as u16).filter(move |other| *other != me)
    }

    /// Returns the other members with their ordinals.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u16, &Peer)> {
        self.ordinals().map(|other| (other, &self[other]))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.by_ordinal.iter_mut()
    }

    /// Returns another member, or `None` for this member and for unknown ordinals.
    pub(crate) fn get(&self, ordinal: u32) -> Option<&Peer> {
        self.by_ordinal.get(ordinal as usize).filter(|_| ordinal != u32::from(self.me))
    }

    /// Returns the number of other members that are active.
    pub(crate) fn active(&self) -> usize {
        self.active
    }

    /// Sets a member's state, and discards its entries if it is no longer active. Returns whether the state changed.
    pub(crate) fn set_state(&mut self, ordinal: u16, state: State) -> bool {
        let peer = &mut self[ordinal];
        if peer.state == state {
            return false;
        }
        let before = std::mem::replace(&mut peer.state, state);
        if !state.is_active() {
            peer.reported_state = Default::default();
        }
        match (before.is_active(), state.is_active()) {
            (true, false) => self.active -= 1,
            (false, true) => self.active += 1,
            _ => {}
        }
        true
    }
}

impl Index<u16> for Peers {
    type Output = Peer;

    fn index(&self, ordinal: u16) -> &Peer {
        &self.by_ordinal[usize::from(ordinal)]
    }
}

impl IndexMut<u16> for Peers {
    fn index_mut(&mut self, ordinal: u16) -> &mut Peer {
        &mut self.by_ordinal[usize::from(ordinal)]
    }
}
