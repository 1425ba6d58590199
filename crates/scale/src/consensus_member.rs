//! A hollow proxy's member of the accord: what the daemon's thread and worker do for theirs, without contents.

use crate::interface::{HollowOutput, ScheduledEvent};
use crate::records::MemberEvent;
use crate::shape::Shape;
use cottonnotch_consensus::{ContentHash, DurableState, Member, Output as ConsensusOutput, Timing, Topic};
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::MemberDriver;
use cottonnotch_proxy_core::envelope::EnvelopeKey;
use std::collections::VecDeque;
use std::convert::Infallible;

const MS: Micros = 1_000;
/// What the accord's clock reads at the start; a machine that has run for a day.
const STARTED: Micros = 86_400_000_000;
/// The worker's answer to a check, and a content's way here with its compiling. Not measured: the daemon does both on another
/// thread, and brings contents over TCP.
const CHECK: Micros = MS;
const FETCH: Micros = 20 * MS;
/// The accord's key, the same at all members.
const KEY: &[u8] = b"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// The cluster's name.
const CLUSTER: &str = "hollow";

/// Its member of the accord, by a clock that begins with the process, as the daemon's accord has one: times go over the wire.
pub(crate) struct ConsensusMember {
    pub began: Micros,
    pub member: Member,
    pub envelope_key: EnvelopeKey,
    pub durable_state: Option<DurableState>,
    /// What has come of the member's outputs, to be taken up by the proxy.
    pub scheduled: Vec<(Micros, ScheduledEvent)>,
    pub out: VecDeque<HollowOutput>,
}

/// A content's hash: its number, and its kind.
pub(crate) fn hash_of(content: u32, kind: u8) -> ContentHash {
    let mut hash = ContentHash::default();
    hash[..4].copy_from_slice(&content.to_le_bytes());
    hash[4] = kind;
    // All zeros would be no content.
    hash[31] = 1;
    hash
}

fn content_of(hash: &ContentHash) -> (u32, u8) {
    (u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]]), hash[4])
}

impl MemberDriver for ConsensusMember {
    type Member = Member;
    type Error = Infallible;

    fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    fn execute(&mut self, now: Micros, output: ConsensusOutput) -> Result<(), Infallible> {
        match output {
            ConsensusOutput::Send { to, message } => {
                if let Ok(bytes) = self.envelope_key.seal(to, message) {
                    self.out.push_back(HollowOutput::ConsensusDatagram { to, bytes });
                }
            }
            ConsensusOutput::Save(durable_state) => self.durable_state = Some(durable_state),
            ConsensusOutput::Check { hash, against, .. } => {
                let kind = content_of(&hash).1;
                let alike = against.iter().rev().take_while(|(_, other)| content_of(other).1 == kind);
                let compatible_from = alike.last().map(|(number, _)| *number);
                self.scheduled.push((
                    self.began + now + CHECK,
                    ScheduledEvent::CompatibilityChecked { hash, compatible_from },
                ));
            }
            ConsensusOutput::Fetch { hash, .. } => {
                self.scheduled.push((self.began + now + FETCH, ScheduledEvent::ContentReady { hash }))
            }
            ConsensusOutput::LeaseChanged(right) if right.topic == Topic::Rules => {
                let version = right.version.map(|(number, hash)| (number, content_of(&hash).0));
                let kind = right.version.map_or(0, |(_, hash)| content_of(&hash).1);
                let until = self.began.saturating_add(right.until);
                self.record(MemberEvent::LeaseChanged { version, kind, until });
            }
            ConsensusOutput::ProposalFinished { hash, outcome, .. } => {
                let in_force = outcome == cottonnotch_consensus::ProposalOutcome::InForce;
                self.record(MemberEvent::ProposalFinished { content: content_of(&hash).0, in_force });
            }
            ConsensusOutput::LeaseChanged(_) | ConsensusOutput::ListOutdated { .. } => {}
        }
        Ok(())
    }
}

impl ConsensusMember {
    /// When its time comes next, by the proxy's clock.
    pub fn next_timeout(&self) -> Micros {
        self.began.saturating_add(self.member.next_timeout())
    }

    fn record(&mut self, event: MemberEvent) {
        self.out.push_back(HollowOutput::Record(event));
    }
}

/// Its member, if the tier has an accord.
pub(crate) fn start_consensus(
    shape: &Shape,
    me: u32,
    durable_state: Option<DurableState>,
    starts_with_fleet: bool,
    now: Micros,
    seed: u64,
) -> Option<ConsensusMember> {
    if shape.voters == 0 {
        return None;
    }
    let voters = shape.voters();
    let me_there = u16::try_from(me).ok()?;
    let durable_state = durable_state
        .or_else(|| (starts_with_fleet && voters.contains(&me_there)).then(DurableState::initial));
    let config = cottonnotch_consensus::Config {
        ordinal: me_there,
        members: u16::try_from(shape.members).ok()?,
        voters,
        timing: Timing::default(),
        incarnation: now.max(1) as u64,
    };
    config.check().ok()?;
    Some(ConsensusMember {
        began: now - STARTED,
        member: Member::new(config, STARTED, durable_state.clone(), seed),
        envelope_key: EnvelopeKey::new(KEY, CLUSTER, me_there)?,
        durable_state,
        scheduled: Vec::new(),
        out: VecDeque::new(),
    })
}
