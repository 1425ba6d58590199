//! What the operator states of each hardware class.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The profiles by name of hardware class. A class that isn't among them has [`Profile::least`].
pub type Profiles = BTreeMap<String, Profile>;

/// What one hardware class can run of the rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// What its nodes can do.
    pub features: Features,
    /// How much of the rules it takes.
    pub budgets: Budgets,
}

/// What the nodes of a class can do. What isn't stated, they can't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Features {
    /// They report how many connections they have.
    #[serde(rename = "tells-loads")]
    pub reports_loads: bool,
    /// They report the latencies that they see.
    #[serde(rename = "tells-delays")]
    pub reports_latency: bool,
    /// They can be drained by pieces, so some connections leave before others.
    pub drained_by_pieces: bool,
    /// They keep the connections of a group together, so it is known which nodes a group is on.
    pub keeps_groups: bool,
    /// They take weights.
    pub takes_weights: bool,
    /// They answer probes.
    pub answers_probes: bool,
}

/// How much of the rules a class takes. A rule that means none of its nodes takes nothing of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Budgets {
    /// Most rules.
    pub rules: u32,
    /// Most distinct selectors.
    pub selectors: u32,
    /// Most bytes that its rules take in a plan.
    pub bytes: u32,
}

impl Default for Budgets {
    /// Those of the least profile.
    fn default() -> Self {
        Self { rules: 64, selectors: 64, bytes: 16 * 1024 }
    }
}

impl Profile {
    /// The profile of a class that nothing is known of: no features, and small budgets.
    pub fn least() -> Self {
        Self::default()
    }

    /// The profile of a class that can do everything and takes any number of rules.
    pub fn full() -> Self {
        Self {
            features: Features {
                reports_loads: true,
                reports_latency: true,
                drained_by_pieces: true,
                keeps_groups: true,
                takes_weights: true,
                answers_probes: true,
            },
            budgets: Budgets { rules: u32::MAX, selectors: u32::MAX, bytes: u32::MAX },
        }
    }
}

/// The profiles to go by when they change while in use: a class whose features are others than `before`, or that is stated no
/// more, gets the least profile, as part of its nodes may be of either kind. New budgets and new classes are taken as they
/// are.
pub fn effective_profiles(before: &Profiles, now: &Profiles) -> Profiles {
    let mut settled = now.clone();
    for (class, old) in before {
        if now.get(class).is_none_or(|new| new.features != old.features) {
            settled.insert(class.clone(), Profile::least());
        }
    }
    settled
}
