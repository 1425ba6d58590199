//! The operator's description of each hardware class.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The profiles by name of hardware class. A class without a profile has [`Profile::least`].
pub type Profiles = BTreeMap<String, Profile>;

/// Describes which rules a hardware class can run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// The capabilities of the class's nodes.
    pub features: Features,
    /// The limits on the rules that the class runs.
    pub budgets: Budgets,
}

/// The capabilities of a class's nodes. A feature that isn't set is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Features {
    /// The nodes report how many connections they have.
    #[serde(rename = "tells-loads")]
    pub reports_loads: bool,
    /// The nodes report the latencies that they see.
    #[serde(rename = "tells-delays")]
    pub reports_latency: bool,
    /// The nodes can be drained gradually, so that some connections are moved before others.
    pub drained_by_pieces: bool,
    /// The nodes keep the connections of a group together, so that the nodes of each group are known.
    pub keeps_groups: bool,
    /// The nodes can be given weights.
    pub takes_weights: bool,
    /// The nodes answer probes.
    pub answers_probes: bool,
}

/// The limits on the rules that a class runs. A rule that selects none of the class's nodes doesn't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Budgets {
    /// The maximum number of rules.
    pub rules: u32,
    /// The maximum number of distinct selectors.
    pub selectors: u32,
    /// The maximum encoded size of the class's rules, in bytes.
    pub bytes: u32,
}

impl Default for Budgets {
    /// The budgets of the least profile.
    fn default() -> Self {
        Self { rules: 64, selectors: 64, bytes: 16 * 1024 }
    }
}

impl Profile {
    /// The profile of an unknown class: no features, and small budgets.
    pub fn least() -> Self {
        Self::default()
    }

    /// The profile of a class that has all features and runs any number of rules.
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

/// The profiles to use after a change from `before` to `now`. A class whose features changed or whose profile was removed
/// gets the least profile, because some of its nodes may have the old features and some the new. New budgets and new
/// classes are used unchanged.
pub fn effective_profiles(before: &Profiles, now: &Profiles) -> Profiles {
    let mut effective = now.clone();
    for (class, old) in before {
        if now.get(class).is_none_or(|new| new.features != old.features) {
            effective.insert(class.clone(), Profile::least());
        }
    }
    effective
}
