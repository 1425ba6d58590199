//! A proxy's heaviest groups: what it reports of them. Holds what the operator allows, whatever comes.

/// What a proxy has of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLoad {
    /// Digest of its name, the same at every proxy.
    pub group: u64,
    /// This proxy's connections of it.
    pub connections: u32,
    /// Their summed load, work in microseconds a second.
    pub load: f64,
}

/// The heaviest `most` groups whose load is `least` or more, the heaviest first; and how many others were as heavy as that.
/// Of equal ones all proxies keep the same.
pub fn heaviest(mut groups: Vec<GroupLoad>, most: usize, least: f64) -> (Vec<GroupLoad>, usize) {
    groups.retain(|group| group.load.is_finite() && group.load >= least);
    let order = |a: &GroupLoad, b: &GroupLoad| b.load.total_cmp(&a.load).then(a.group.cmp(&b.group));
    let cut = groups.len().saturating_sub(most);
    if cut > 0 {
        groups.select_nth_unstable_by(most, order);
        groups.truncate(most);
    }
    groups.sort_unstable_by(order);
    (groups, cut)
}

#[cfg(test)]
#[path = "groups_tests.rs"]
mod tests;
