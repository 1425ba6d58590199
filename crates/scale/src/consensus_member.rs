//! A hollow proxy's consensus member: what the daemon's consensus thread and compile worker do for theirs, without contents.

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
/// Reading of the consensus clock at the start: a machine that has run for a day.
const STARTED: Micros = 86_400_000_000;
/// Duration of a compatibility check, and of fetching and compiling a content. Not measured: the daemon does both on another
/// thread, and fetches contents over TCP.
const CHECK: Micros = MS;
const FETCH: Micros = 20 * MS;
/// Key of the consensus datagrams, the same at all members.
const KEY: &[u8] = b"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// The cluster's name.
const CLUSTER: &str = "hollow";

/// The consensus member. Its clock begins with the process, as the daemon's does: times go over the wire.
pub(crate) struct ConsensusMember {
    pub began: Micros,
    pub member: Member,
    pub envelope_key: EnvelopeKey,
    pub durable_state: Option<DurableState>,
    /// Events that follow from the member's outputs, for the proxy to schedule.
    pub scheduled: Vec<(Micros, ScheduledEvent)>,
    pub outputs: VecDeque<HollowOutput>,
}

/// Hash of a content: its number and its kind.
pub(crate) fn hash_of(content: u32, kind: u8) -> ContentHash {
    let mut hash = ContentHash::default();
    hash[..4].copy_from_slice(&content.to_le_bytes());
    hash[4] = kind;
    // A hash of zeros stands for no content.
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
                    self.outputs.push_back(HollowOutput::ConsensusDatagram { to, bytes });
                }
            }
            ConsensusOutput::Save(durable_state) => self.durable_state = Some(durable_state),
            ConsensusOutput::Check { hash, against, .. } => {
                let kind = content_of(&hash).1;
                let compatible = against.iter().rev().take_while(|(_, other)| content_of(other).1 == kind);
                let compatible_from = compatible.last().map(|(number, _)| *number);
                self.scheduled.push((
                    self.began + now + CHECK,
                    ScheduledEvent::CompatibilityChecked { hash, compatible_from },
                ));
            }
            ConsensusOutput::Fetch { hash, .. } => {
                self.scheduled.push((self.began + now + FETCH, ScheduledEvent::ContentReady { hash }))
            }
            ConsensusOutput::LeaseChanged(lease) if lease.topic == Topic::Rules => {
                let version = lease.version.map(|(number, hash)| (number, content_of(&hash).0));
                let kind = lease.version.map_or(0, |(_, hash)| content_of(&hash).1);
                let until = self.began.saturating_add(lease.until);
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
    /// The next timeout, by the proxy's clock.
    pub fn next_timeout(&self) -> Micros {
        self.began.saturating_add(self.member.next_timeout())
    }

    fn record(&mut self, event: MemberEvent) {
        self.outputs.push_back(HollowOutput::Record(event));
    }
}

/// Starts the member; `None` in a fleet without consensus.
pub(crate) fn start_consensus(
    shape: &Shape,
    member: u32,
    durable_state: Option<DurableState>,
    starts_with_fleet: bool,
    now: Micros,
    seed: u64,
) -> Option<ConsensusMember> {
    if shape.voters == 0 {
        return None;
    }
    let voters = shape.voters();
    let ordinal = u16::try_from(member).ok()?;
    let durable_state = durable_state
        .or_else(|| (starts_with_fleet && voters.contains(&ordinal)).then(DurableState::initial));
    let config = cottonnotch_consensus::Config {
        ordinal,
        members: u16::try_from(shape.members).ok()?,
        voters,
        timing: Timing::default(),
        incarnation: now.max(1) as u64,
    };
    config.check().ok()?;
    Some(ConsensusMember {
        began: now - STARTED,
        member: Member::new(config, STARTED, durable_state.clone(), seed),
        envelope_key: EnvelopeKey::new(KEY, CLUSTER, ordinal)?,
        durable_state,
        scheduled: Vec::new(),
        outputs: VecDeque::new(),
    })
}
