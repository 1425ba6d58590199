//! The heaviest groups of one proxy: what its group report names. Bounded by the operator's setting.

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

/// The heaviest `max_groups` groups whose load is `min_load` or more, the heaviest first; and how many others had that load.
/// Of equal ones every proxy keeps the same.
pub fn heaviest(mut groups: Vec<GroupLoad>, max_groups: usize, min_load: f64) -> (Vec<GroupLoad>, usize) {
    groups.retain(|group| group.load.is_finite() && group.load >= min_load);
    let order = |a: &GroupLoad, b: &GroupLoad| b.load.total_cmp(&a.load).then(a.group.cmp(&b.group));
    let truncated = groups.len().saturating_sub(max_groups);
    if truncated > 0 {
        groups.select_nth_unstable_by(max_groups, order);
        groups.truncate(max_groups);
    }
    groups.sort_unstable_by(order);
    (groups, truncated)
}

#[cfg(test)]
#[path = "groups_tests.rs"]
mod tests;
