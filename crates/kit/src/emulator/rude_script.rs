//! The bytes that each kind of misbehaving client sends.

use crate::model::client::words::request_id;
use crate::observation::RequestId;
use crate::plan::{Misbehavior, Plan};
use cottonnotch_reactor::line::LineStream;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Length in bytes of the value sent by [`Misbehavior::Huge`].
const HUGE: usize = 60_000_000;
/// Size in bytes of the pieces in which long values are written.
const PIECE: usize = 64 * 1024;
/// Number of bytes that [`Misbehavior::Garbage`] sends, none of which is ASCII.
const GARBAGE: usize = 300;
/// Number of first lines that [`Misbehavior::ManyCommands`] sends at once.
const COMMANDS: u32 = 400;

/// The bytes that a client sends, piece by piece.
#[derive(Debug)]
pub(super) struct Script {
    /// Each piece with the number of times that it is sent.
    pieces: VecDeque<(Vec<u8>, usize)>,
    /// The client ends its sending after the last piece.
    finishes: bool,
    /// The client's own request ids in complete first lines. They may reach a render node if the proxy accepts the
    /// lines.
    pub ids: Vec<RequestId>,
}

impl Script {
    fn once(words: impl Into<Vec<u8>>) -> Self {
        Script { pieces: VecDeque::from([(words.into(), 1)]), finishes: false, ids: Vec::new() }
    }

    /// Adds the client's own request ids.
    fn asking(mut self, ids: impl IntoIterator<Item = u64>) -> Self {
        self.ids.extend(ids.into_iter().map(RequestId));
        self
    }

    fn then(mut self, piece: Vec<u8>, times: usize) -> Self {
        self.pieces.push_back((piece, times));
        self
    }

    /// Queues the next piece to be written, and returns its length. Returns `None` once all pieces have been queued.
    pub fn say_next(&mut self, link: &mut LineStream) -> Option<usize> {
        let Some((piece, times)) = self.pieces.front_mut() else {
            if std::mem::take(&mut self.finishes) {
                link.finish();
                return Some(0);
            }
            return None;
        };
        link.push(piece);
        let length = piece.len();
        *times = times.saturating_sub(1);
        if *times == 0 {
            self.pieces.pop_front();
        }
        Some(length)
    }
}

/// The script of the misbehaving client at index `place` of the plan for its connection number `visit`. No other client
/// has its request ids, except the owner of a stolen one.
pub(super) fn script(
    plan: &Plan,
    kind: Misbehavior,
    seed: u64,
    place: u32,
    visit: u32,
    stolen: Option<RequestId>,
) -> Script {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let key: u64 = rng.random();
    // Counted down from the greatest session index, so that no request of a session has the same id.
    let id = |number: u32| request_id(plan.seed, u32::MAX - place, number).0;
    let class = plan.classes.first().map_or("-", |class| class.name.as_str());
    let tenant = plan.tenants.first().map_or("-", |tenant| tenant.name.as_str());
    let open = |id: u64, class: &str, wait: &str| {
        format!("OPEN {id:016x} {key:016x} c={class},t={tenant},d={wait},g={key:016x}\r\n")
    };
    match kind {
        Misbehavior::Garbage => {
            let mut bytes: Vec<u8> = (0..GARBAGE).map(|_| rng.random_range(0x80..=0xff)).collect();
            bytes.extend_from_slice(b"\r\n");
            Script::once(bytes)
        }
        Misbehavior::Endless => Script::once("OPEN ").then(vec![b'x'; PIECE], usize::MAX),
        Misbehavior::Huge => {
            let head = format!("OPEN {:016x} {key:016x} c={class},t={tenant},d=1000,g=", id(visit));
            Script::once(head)
                .then(vec![b'7'; PIECE], HUGE.div_ceil(PIECE))
                .then(b"\r\n".to_vec(), 1)
                .asking([id(visit)])
        }
        Misbehavior::NoSuchClass | Misbehavior::AgainAtOnce => {
            Script::once(open(id(visit), "no-such-class", "1000")).asking([id(visit)])
        }
        Misbehavior::BadDeadline => {
            let waits = ["soon", "-5", "99999999999999999999999999", ""];
            Script::once(open(id(visit), class, waits[rng.random_range(0..waits.len())])).asking([id(visit)])
        }
        Misbehavior::NoId => {
            Script::once(format!("OPEN {key:016x} c={class},t={tenant},d=1000,g={key:016x}\r\n"))
        }
        Misbehavior::StolenId => Script::once(open(stolen.map_or(id(visit), |id| id.0), class, "1000")),
        Misbehavior::Half => {
            let whole = open(id(visit), class, "1000");
            Script { finishes: true, ..Script::once(&whole.as_bytes()[..whole.len() / 2]) }
        }
        Misbehavior::ManyCommands => {
            let words = (0..COMMANDS).map(|number| open(id(number), class, "1000")).collect::<String>();
            Script::once(words).asking((0..COMMANDS).map(id))
        }
        Misbehavior::Silent => Script { pieces: VecDeque::new(), finishes: false, ids: Vec::new() },
    }
}
