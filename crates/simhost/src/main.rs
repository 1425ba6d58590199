//! The simulator's adapter. It translates lines of the wire into events of the decision module, and the
//! module's actions into lines. All decisions are left to the module.
//!
//! The adapter reads batches of lines from standard input and writes a reply to each batch to standard
//! output. A line that cannot be read is reported on standard error and ignored.

mod actions;
mod events;
mod fields;
mod gossip_member;
mod host;
mod instance;

use fields::MalformedLine;
use host::{Host, Progress};
use std::io::{self, BufRead, Write};

/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> io::Result<()> {
    let mut host = Host::new(gossip_ms()?);
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        host.line_number += 1;
        while matches!(line.last(), Some(b'\n' | b'\r')) {
            line.pop();
        }
        if line.is_empty() {
            continue;
        }
        match read_line(&mut host, &line) {
            Ok(Progress::InBatch) => {}
            Ok(Progress::ReplyDue) => send_reply(&mut host, &mut output)?,
            Err(error) => host.report(&error),
        }
    }
}

fn read_line(host: &mut Host, line: &[u8]) -> Result<Progress, MalformedLine> {
    match std::str::from_utf8(line) {
        Ok(line) => host.read_line(line),
        Err(_) => fields::malformed("line", "is not UTF-8"),
    }
}

fn send_reply(host: &mut Host, output: &mut impl Write) -> io::Result<()> {
    host.reply.extend_from_slice(b"yield\n");
    output.write_all(&host.reply)?;
    output.flush()?;
    host.reply.clear();
    Ok(())
}

/// Reads the argument `--gossip MS`, the gossip period in milliseconds. Without it instances don't gossip,
/// because the platform starts the adapter without arguments.
fn gossip_ms() -> io::Result<Option<u32>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => Ok(None),
        ["--gossip", ms] if ms.parse::<u32>().is_ok_and(|ms| (100..=60_000).contains(&ms)) => {
            Ok(ms.parse().ok())
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "usage: cottonnotch-simhost [--gossip 100..60000]",
        )),
    }
}
