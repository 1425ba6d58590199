//! The answers of the leader and of the other voters to a lease request.

use crate::roles::lease_grants::MemberLeases;
use crate::state::Phase;
use crate::{LeaseGrant, LeaseRequest, Member, Message, Micros, State, Topic, TopicState, Version};

impl Member {
    /// Voter: grants leases on the versions in force if it leads; otherwise names the leader.
    pub(super) fn receive_lease_request(&mut self, from: u16, request: &LeaseRequest) {
        if self.voter.is_none() {
            return self.counters.dropped += 1;
        }
        let committed =
            self.leader().filter(|_| self.has_authority()).and_then(|leader| leader.committed.clone());
        let Some((revision, state)) = committed else {
            return self.send_leader_hint(from, request.sent_at);
        };
        let (now, expires_at) = (self.now, self.now + self.grant_duration());
        let Some(leader) = self.leader_mut() else { return };
        let member = leader.grants.members.entry((from, request.incarnation)).or_default();
        if member.last_sent.is_some_and(|last| request.sent_at <= last) {
            return self.counters.dropped += 1;
        }
        member.update(now, request);
        let versions = grant_versions(member, request, &state, expires_at);
        let grant = LeaseGrant {
            incarnation: request.incarnation,
            echo: request.sent_at,
            revision,
            versions,
            pending: state.pending(),
            list: leader.newest_list,
        };
        self.send(from, Message::LeaseGrant(Box::new(grant)));
    }

    /// Sends a hint with the leader, if this voter heard from the leader recently. A leader without a committed state
    /// sends no answer.
    fn send_leader_hint(&mut self, to: u16, echo: Micros) {
        let Some(voter) = &self.voter else { return };
        if voter.leadership.is_some() {
            return;
        }
        let max_age = self.config.timing.election_timeout_max;
        let is_recent = self.now < voter.leader_heard_at.saturating_add(max_age);
        let leader = voter.known_leader.filter(|&leader| leader != self.config.ordinal && is_recent);
        self.send(to, Message::LeaderHint { echo, leader });
    }
}

/// Extends the member's leases on the versions in force, except versions that are being revoked. Returns the granted
/// versions by topic.
fn grant_versions(
    member: &mut MemberLeases,
    request: &LeaseRequest,
    state: &State,
    expires_at: Micros,
) -> [Option<Version>; 2] {
    let mut versions = [None; 2];
    for topic in Topic::ALL {
        let index = topic.index();
        let revoked_below = request.revoked_below[index];
        // The member doesn't act on versions below this number, and rejects grants of them that are still in transit.
        member.leases[index].retain(|lease| lease.number >= revoked_below);
        let Some(version) = state.topic(topic).in_force else { continue };
        if is_being_revoked(state.topic(topic), &version) || version.number < revoked_below {
            continue;
        }
        versions[index] = Some(version);
        member.extend(topic, &version, expires_at);
    }
    versions
}

/// Whether the pending version is incompatible with this one and waits for its leases to end.
fn is_being_revoked(topic: &TopicState, version: &Version) -> bool {
    topic.pending.is_some_and(|pending| {
        pending.phase == Phase::Revoke && version.number < pending.version.compatible_from
    })
}
