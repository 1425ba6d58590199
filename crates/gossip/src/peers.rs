//! The other members by ordinal.

use crate::Micros;
use crate::peer::{Peer, State};
use std::ops::{Index, IndexMut};

/// The other members. Grows with the configured members.
#[derive(Debug)]
pub(crate) struct Peers {
    /// This member's own ordinal; its place is unused.
    me: u16,
    by_ordinal: Vec<Peer>,
    /// Others that are active.
    active: usize,
}

impl Peers {
    /// None yet.
    pub(crate) fn new(me: u16) -> Self {
        Peers { me, by_ordinal: Vec::new(), active: 0 }
    }

    /// Sets how many members there are, this one included; the states of those that stay are kept.
    pub(crate) fn resize(&mut self, members: u16, now: Micros, datagrams_per_s: u32) {
        self.by_ordinal.resize_with(members.into(), || Peer::new(now, datagrams_per_s));
        self.active = self.ordinals().filter(|other| self[*other].state.is_active()).count();
    }

    /// Members by configuration, this one included.
    pub(crate) fn members(&self) -> usize {
        self.by_ordinal.len()
    }

    /// Whether there is such an ordinal.
    pub(crate) fn contains(&self, ordinal: u16) -> bool {
        usize::from(ordinal) < self.by_ordinal.len()
    }

    /// The others' ordinals.
    pub(crate) fn ordinals(&self) -> impl Iterator<Item = u16> + use<> {
        let me = self.me;
        (0..self.by_ordinal.len() as u16).filter(move |other| *other != me)
    }

    /// The others.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u16, &Peer)> {
        self.ordinals().map(|other| (other, &self[other]))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.by_ordinal.iter_mut()
    }

    /// Another member; `None` for this one and for ordinals that there aren't.
    pub(crate) fn get(&self, ordinal: u32) -> Option<&Peer> {
        self.by_ordinal.get(ordinal as usize).filter(|_| ordinal != u32::from(self.me))
    }

    /// Others that are active.
    pub(crate) fn active(&self) -> usize {
        self.active
    }

    /// Sets a member's state, and forgets what it reported if it is no longer active; whether the state is another one.
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
