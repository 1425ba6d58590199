//! The selection of the groups for a proxy's group report: those with the most load, up to the configured number.

/// The connections and the load of one group at a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLoad {
    /// Digest of the group's name; every proxy computes the same digest.
    pub group: u64,
    /// Number of this proxy's connections that belong to the group.
    pub connections: u32,
    /// Summed load of these connections, in microseconds of work per second.
    pub load: f64,
}

/// The `max_groups` groups with the most load among those with at least `min_load`, in descending order of load, and the number
/// of groups left out because of `max_groups`. Ties are broken by the digest, so that every proxy selects the same groups.
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
