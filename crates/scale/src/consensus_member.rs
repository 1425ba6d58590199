//! A hollow proxy's member of the accord: what the daemon's thread and worker do for theirs, without contents.

use crate::interface::{Due, Wish};
use crate::records::What;
use crate::shape::Shape;
use cottonnotch_consensus::{ContentHash, DurableState, Member, Output as Wanted, Timing, Topic};
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
pub(crate) struct Accord {
    pub began: Micros,
    pub member: Member,
    pub seal: EnvelopeKey,
    pub memory: Option<DurableState>,
    /// What has come of the member's outputs, to be taken up by the proxy.
    pub later: Vec<(Micros, Due)>,
    pub out: VecDeque<Wish>,
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

impl MemberDriver for Accord {
    type Member = Member;
    type Error = Infallible;

    fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    fn execute(&mut self, now: Micros, output: Wanted) -> Result<(), Infallible> {
        match output {
            Wanted::Send { to, message } => {
                if let Ok(bytes) = self.seal.seal(to, message) {
                    self.out.push_back(Wish::Accord { to, bytes });
                }
            }
            Wanted::Save(memory) => self.memory = Some(memory),
            Wanted::Check { hash, against, .. } => {
                let kind = content_of(&hash).1;
                let alike = against.iter().rev().take_while(|(_, other)| content_of(other).1 == kind);
                let agrees_from = alike.last().map(|(number, _)| *number);
                self.later.push((self.began + now + CHECK, Due::Checked { hash, agrees_from }));
            }
            Wanted::Fetch { hash, .. } => self.later.push((self.began + now + FETCH, Due::Have { hash })),
            Wanted::LeaseChanged(right) if right.topic == Topic::Rules => {
                let version = right.version.map(|(number, hash)| (number, content_of(&hash).0));
                let kind = right.version.map_or(0, |(_, hash)| content_of(&hash).1);
                let until = self.began.saturating_add(right.until);
                self.record(What::May { version, kind, until });
            }
            Wanted::ProposalFinished { hash, outcome, .. } => {
                let in_force = outcome == cottonnotch_consensus::ProposalOutcome::InForce;
                self.record(What::Over { content: content_of(&hash).0, in_force });
            }
            Wanted::LeaseChanged(_) | Wanted::ListOutdated { .. } => {}
        }
        Ok(())
    }
}

impl Accord {
    /// When its time comes next, by the proxy's clock.
    pub fn next_timeout(&self) -> Micros {
        self.began.saturating_add(self.member.next_timeout())
    }

    fn record(&mut self, what: What) {
        self.out.push_back(Wish::Record(what));
    }
}

/// Its member, if the tier has an accord.
pub(crate) fn accord(
    shape: &Shape,
    me: u32,
    memory: Option<DurableState>,
    is_first: bool,
    now: Micros,
    seed: u64,
) -> Option<Accord> {
    if shape.voters == 0 {
        return None;
    }
    let voters = shape.voters();
    let me_there = u16::try_from(me).ok()?;
    let memory = memory.or_else(|| (is_first && voters.contains(&me_there)).then(DurableState::initial));
    let config = cottonnotch_consensus::Config {
        ordinal: me_there,
        members: u16::try_from(shape.members).ok()?,
        voters,
        timing: Timing::default(),
        incarnation: now.max(1) as u64,
    };
    config.check().ok()?;
    Some(Accord {
        began: now - STARTED,
        member: Member::new(config, STARTED, memory.clone(), seed),
        seal: EnvelopeKey::new(KEY, CLUSTER, me_there)?,
        memory,
        later: Vec::new(),
        out: VecDeque::new(),
    })
}
