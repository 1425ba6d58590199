//! The lines of a client: its first line, its own lines, and how it parses answers (`PROTOCOL`, "Clients to
//! proxies").

use crate::observation::{Answer, RequestId};
use crate::plan::{Plan, Session};
use crate::time::{MS, Micros};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Minimum and maximum padding of a client's line, in bytes.
const PADDING: (u64, u64) = (16, 60);
/// Number of bytes of an unexpected line that are kept for the judge's report.
const MAX_KEPT_BYTES: usize = 80;

/// The purpose of a random draw. Each purpose has its own random stream, so no draw depends on earlier events.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub(crate) enum Draw {
    Proxy = 1,
    Phase,
    Rejoin,
    Honour,
    Drop,
}

/// The random generator for one draw of a session. The same seed, purpose and number give the same generator.
pub(crate) fn random_draw(seed: u64, what: Draw, number: u64) -> ChaCha8Rng {
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&(what as u64).to_le_bytes());
    key[16..24].copy_from_slice(&number.to_le_bytes());
    ChaCha8Rng::from_seed(key)
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014). It
/// is a permutation of the 64-bit values, so different inputs give different outputs.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The id of a request. Ids are guaranteed to be unique among all sessions and attempts of a run. The highest values
/// of `place` belong to misbehaving clients.
pub(crate) fn request_id(seed: u64, place: u32, number: u32) -> RequestId {
    RequestId(mix(seed ^ (u64::from(place) << 32 | u64::from(number))))
}

/// The values of a first line that the session's plan does not determine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstLineValues {
    pub request: RequestId,
    pub wait_ms: i64,
    pub repeat: bool,
    pub again: bool,
}

/// The first line of a connection, including its line end.
pub(crate) fn first_line(plan: &Plan, session: &Session, values: FirstLineValues) -> String {
    let class = plan.classes.get(usize::from(session.class)).map_or("-", |c| c.name.as_str());
    let tenant = plan.tenants.get(usize::from(session.tenant)).map_or("-", |t| t.name.as_str());
    let FirstLineValues { request: RequestId(id), wait_ms, .. } = values;
    let repeat = if values.repeat { ",r=1" } else { "" };
    let again = if values.again { ",again=1" } else { "" };
    let (key, group) = (session.key, session.group);
    format!("OPEN {id:016x} {key:016x} c={class},t={tenant},d={wait_ms},g={group:016x}{repeat}{again}\r\n")
}

/// The client's line with this number, including its line end. The line is a function of the request and the
/// number, so returned lines can be recognized without storing the lines that were sent.
pub(crate) fn client_line(request: RequestId, number: u32) -> String {
    let bits = mix(request.0 ^ u64::from(number));
    let length = (PADDING.0 + bits % (PADDING.1 - PADDING.0 + 1)) as usize;
    let mut line = format!("M {number} ");
    let end = line.len() + length;
    while line.len() < end {
        line.push_str(&format!("{bits:016x}"));
    }
    line.truncate(end);
    line.push_str("\r\n");
    line
}

/// Whether the first word of a line is that of an answer.
pub(crate) fn looks_like_answer(line: &[u8]) -> bool {
    let word = line.split(|b| *b == b' ').next().unwrap_or_default();
    matches!(word, b"UP" | b"BUSY" | b"ERR" | b"NO" | b"SYNTAX")
}

/// Parses a final answer: `UP` with a receipt in hexadecimal digits, `BUSY` or `BUSY MS`. Any other line is a
/// failure.
pub(crate) fn parse_answer(line: &[u8]) -> Answer {
    let failed = || Answer::Failed(escaped_prefix(line));
    let Ok(text) = std::str::from_utf8(line) else { return failed() };
    let mut words = text.split(' ');
    match (words.next(), words.next(), words.next()) {
        (Some("UP"), Some(receipt), None) => {
            u64::from_str_radix(receipt, 16).map_or_else(|_| failed(), Answer::Up)
        }
        (Some("BUSY"), None, _) => Answer::Busy(0),
        (Some("BUSY"), Some(ms), None) => {
            ms.parse::<u32>().map_or_else(|_| failed(), |ms| Answer::Busy(Micros::from(ms) * MS))
        }
        _ => failed(),
    }
}

/// Whether the line is a valid `LOAD` report of a render node.
pub(crate) fn is_load_report(line: &[u8]) -> bool {
    let figure = line.strip_prefix(b"LOAD ").and_then(|rest| std::str::from_utf8(rest).ok());
    figure.and_then(|f| f.parse::<f64>().ok()).is_some_and(|load| load.is_finite() && load >= 0.0)
}

/// The first bytes of a line, escaped for reports.
pub(crate) fn escaped_prefix(line: &[u8]) -> String {
    line[..line.len().min(MAX_KEPT_BYTES)].escape_ascii().to_string()
}
