//! The data that a member keeps for each of its roles. The steps of the protocol are methods of [`crate::Member`].

pub(crate) mod candidate;
pub(crate) mod change;
pub(crate) mod endpoint_lists;
pub(crate) mod leader;
pub(crate) mod lease_grants;
pub(crate) mod lease_holder;
pub(crate) mod proposer;
pub(crate) mod recovery;
pub(crate) mod voter;
