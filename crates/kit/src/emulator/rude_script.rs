//! The bytes that each kind of misbehaving client sends.

use crate::model::client::lines::request_id;
use crate::observation::RequestId;
use crate::plan::{Misbehavior, Plan};
use cottonnotch_reactor::line::LineStream;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Length in bytes of the value sent by [`Misbehavior::Huge`].
const HUGE_VALUE_LEN: usize = 60_000_000;
/// Size in bytes of the pieces in which long values are written.
const PIECE_LEN: usize = 64 * 1024;
/// Number of bytes that [`Misbehavior::Garbage`] sends, none of which is ASCII.
const GARBAGE_LEN: usize = 300;
/// Number of first lines that [`Misbehavior::ManyCommands`] sends at once.
const COMMAND_COUNT: u32 = 400;

/// The bytes that a client sends, piece by piece.
#[derive(Debug)]
pub(super) struct Script {
    /// Each piece with the number of times that it is sent.
    pieces: VecDeque<(Vec<u8>, usize)>,
    /// The client ends its sending after the last piece.
    ends_sending: bool,
    /// The client's own request ids in complete first lines. They may reach a render node if the proxy accepts the
    /// lines.
    pub request_ids: Vec<RequestId>,
}

impl Script {
    fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Script { pieces: VecDeque::from([(bytes.into(), 1)]), ends_sending: false, request_ids: Vec::new() }
    }

    /// Adds the client's own request ids.
    fn with_request_ids(mut self, ids: impl IntoIterator<Item = u64>) -> Self {
        self.request_ids.extend(ids.into_iter().map(RequestId));
        self
    }

    fn then(mut self, piece: Vec<u8>, times: usize) -> Self {
        self.pieces.push_back((piece, times));
        self
    }

    /// Queues the next piece to be written, and returns its length. Returns `None` once all pieces have been queued.
    pub fn push_next(&mut self, stream: &mut LineStream) -> Option<usize> {
        let Some((piece, times)) = self.pieces.front_mut() else {
            if std::mem::take(&mut self.ends_sending) {
                stream.finish();
                return Some(0);
            }
            return None;
        };
        stream.push(piece);
        let length = piece.len();
        *times = times.saturating_sub(1);
        if *times == 0 {
            self.pieces.pop_front();
        }
        Some(length)
    }
}

/// Builds the script of the misbehaving client at `index` in the plan, for its `connection`-th connection, counted from
/// 0. No other client has its request ids, except the owner of a stolen one.
pub(super) fn build_script(
    plan: &Plan,
    kind: Misbehavior,
    seed: u64,
    index: u32,
    connection: u32,
    stolen: Option<RequestId>,
) -> Script {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let key: u64 = rng.random();
    // Counted down from the greatest session index, so that no request of a session has the same id.
    let id = |number: u32| request_id(plan.seed, u32::MAX - index, number).0;
    let class = plan.classes.first().map_or("-", |class| class.name.as_str());
    let tenant = plan.tenants.first().map_or("-", |tenant| tenant.name.as_str());
    let first_line = |id: u64, class: &str, wait: &str| {
        format!("OPEN {id:016x} {key:016x} c={class},t={tenant},d={wait},g={key:016x}\r\n")
    };
    match kind {
        Misbehavior::Garbage => {
            let mut bytes: Vec<u8> = (0..GARBAGE_LEN).map(|_| rng.random_range(0x80..=0xff)).collect();
            bytes.extend_from_slice(b"\r\n");
            Script::new(bytes)
        }
        Misbehavior::Endless => Script::new("OPEN ").then(vec![b'x'; PIECE_LEN], usize::MAX),
        Misbehavior::Huge => {
            let head = format!("OPEN {:016x} {key:016x} c={class},t={tenant},d=1000,g=", id(connection));
            Script::new(head)
                .then(vec![b'7'; PIECE_LEN], HUGE_VALUE_LEN.div_ceil(PIECE_LEN))
                .then(b"\r\n".to_vec(), 1)
                .with_request_ids([id(connection)])
        }
        Misbehavior::NoSuchClass | Misbehavior::AgainAtOnce => {
            Script::new(first_line(id(connection), "no-such-class", "1000"))
                .with_request_ids([id(connection)])
        }
        Misbehavior::BadDeadline => {
            let deadlines = ["soon", "-5", "99999999999999999999999999", ""];
            Script::new(first_line(id(connection), class, deadlines[rng.random_range(0..deadlines.len())]))
                .with_request_ids([id(connection)])
        }
        Misbehavior::NoId => {
            Script::new(format!("OPEN {key:016x} c={class},t={tenant},d=1000,g={key:016x}\r\n"))
        }
        Misbehavior::StolenId => {
            Script::new(first_line(stolen.map_or(id(connection), |id| id.0), class, "1000"))
        }
        Misbehavior::Half => {
            let line = first_line(id(connection), class, "1000");
            Script { ends_sending: true, ..Script::new(&line.as_bytes()[..line.len() / 2]) }
        }
        Misbehavior::ManyCommands => {
            let commands =
                (0..COMMAND_COUNT).map(|number| first_line(id(number), class, "1000")).collect::<String>();
            Script::new(commands).with_request_ids((0..COMMAND_COUNT).map(id))
        }
        Misbehavior::Silent => {
            Script { pieces: VecDeque::new(), ends_sending: false, request_ids: Vec::new() }
        }
    }
}
