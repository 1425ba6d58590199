//! Turns records into lines and lines into writes, and accounts for every one of them: each record handed over
//! is written, or is among those that a `dropped` line counts. The clock is a parameter.
//!
//! Losses need no counter. Records come with their `seq`, so a gap is what the full queue dropped; a failed write
//! loses the end of a batch, and a record that comes while nothing can be written joins it. So the lost ones are
//! always one run that ends before the next line, and one `dropped` line in front of that tells it.

use crate::event::Event;
use crate::record::{LONGEST_LINE, Record, SCHEMA};
use crate::sink::Sink;
use std::io;

/// Bytes that are gathered before they are written: a write costs some microseconds, whatever it holds.
const BATCH: usize = 64 * 1024;
/// After a failure, in microseconds of the recorder's clock: a full disk is not free sooner.
const RETRY_AFTER: u64 = 1_000_000;

/// A record as the loop hands it over.
#[derive(Debug)]
pub(crate) struct Message {
    pub seq: u64,
    pub mono_us: u64,
    pub event: Event,
}

/// A line in the batch.
struct Line {
    /// Where it ends in the batch.
    end: usize,
    /// The first `seq` that it stands for; more than one if it is `dropped`.
    since: u64,
    is_dropped: bool,
}

/// The present time on both clocks, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Now {
    pub mono_us: u64,
    pub wall_us: u64,
}

/// The writer.
pub(crate) struct Writer<O> {
    sink: O,
    /// How the log calls the target.
    target: String,
    now: Now,
    batch: Vec<u8>,
    lines: Vec<Line>,
    /// The `seq` after the last one that was seen, whether written or lost.
    next: u64,
    /// The first of the lost ones that no line tells yet.
    lost_since: Option<u64>,
    /// What was written last is the beginning of a line.
    ragged: bool,
    /// Nothing is tried before this.
    retry_at: Option<u64>,
    written: u64,
}

impl<O: Sink> Writer<O> {
    pub fn new(sink: O, target: String) -> Self {
        Writer {
            sink,
            target,
            now: Now::default(),
            batch: Vec::with_capacity(BATCH + 1024),
            lines: Vec::new(),
            next: 0,
            lost_since: None,
            ragged: false,
            retry_at: None,
            written: 0,
        }
    }

    /// Opens the target, to learn at once if it cannot be had.
    pub fn open(&mut self) -> io::Result<()> {
        self.ragged |= self.sink.begin()?;
        Ok(())
    }

    /// The present time; what comes is timed by it.
    pub fn at(&mut self, now: Now) {
        self.now = now;
    }

    /// Records written so far, `dropped` lines not counted.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Records that were lost so far; exact when the batch is empty.
    pub fn lost(&self) -> u64 {
        let waiting = self.lines.iter().filter(|line| !line.is_dropped).count() as u64;
        self.next - self.written - waiting
    }

    /// Takes a record.
    pub fn take(&mut self, message: Message) {
        let Message { seq, mono_us, event } = message;
        self.missed_up_to(seq);
        if self.retry_at.is_some() {
            self.next = seq + 1;
            self.lost_since.get_or_insert(seq);
            return;
        }
        self.tell_lost(mono_us);
        self.push(seq, seq, mono_us, event);
        if self.batch.len() >= BATCH {
            self.flush();
        }
    }

    /// Records before this one that never came were dropped by the full queue.
    fn missed_up_to(&mut self, seq: u64) {
        if seq > self.next {
            self.lost_since.get_or_insert(self.next);
            self.next = seq;
        }
    }

    fn tell_lost(&mut self, mono_us: u64) {
        if let Some(since) = self.lost_since.take() {
            let dropped = Event::Dropped { count: self.next - since, since_seq: since };
            self.push(self.next - 1, since, mono_us, dropped);
        }
    }

    fn push(&mut self, seq: u64, since: u64, mono_us: u64, event: Event) {
        let is_dropped = matches!(event, Event::Dropped { .. });
        // By the offset of now: the wall clock is not read for each record.
        let wall_us = self.now.wall_us.saturating_add(mono_us).saturating_sub(self.now.mono_us);
        let begin = self.batch.len();
        let written = Record { v: SCHEMA, seq, wall_us, mono_us, event }.write_line(&mut self.batch);
        self.next = seq + 1;
        if written.is_err() || self.batch.len() - begin > LONGEST_LINE {
            self.batch.truncate(begin);
            self.lost_since.get_or_insert(since);
        } else {
            self.lines.push(Line { end: self.batch.len(), since, is_dropped });
        }
    }

    /// Writes what is gathered. While the target is in trouble, tries again now and then.
    pub fn flush(&mut self) {
        if let Some(at) = self.retry_at {
            if self.now.mono_us < at {
                return;
            }
            // Said at once, even if no record comes for long.
            self.tell_lost(self.now.mono_us);
        }
        if self.lines.is_empty() {
            return;
        }
        let mut done = 0;
        let outcome = self.write_out(&mut done);
        let lines = &self.lines[..done];
        self.written += lines.iter().filter(|line| !line.is_dropped).count() as u64;
        match outcome {
            Ok(()) => {
                if self.retry_at.take().is_some() {
                    let lost = self.lost();
                    log::info!("records go to {} again, {lost} were lost since the start", self.target);
                }
            }
            Err(error) => {
                self.lost_since = self.lines.get(done).map(|line| line.since).or(self.lost_since);
                if self.retry_at.is_none() {
                    log::warn!(
                        "records cannot be written to {}: {error}; lost ones are counted until they can",
                        self.target
                    );
                }
                self.retry_at = Some(self.now.mono_us + RETRY_AFTER);
                self.sink.close();
            }
        }
        self.batch.clear();
        self.lines.clear();
    }

    /// Writes the batch, as many lines at a time as there is room for; `done` counts whole lines.
    fn write_out(&mut self, done: &mut usize) -> io::Result<()> {
        self.ragged |= self.sink.begin()?;
        let mut begin = 0;
        while let Some(line) = self.lines.get(*done) {
            let closing = u64::from(self.ragged);
            let room = self.sink.room((line.end - begin) as u64 + closing)? - closing;
            let fit = |line: &Line| (line.end - begin) as u64 <= room;
            let until = *done + self.lines[*done..].partition_point(fit);
            if self.ragged {
                // The rest of a line that was cut is never written: what follows begins a line of its own.
                write_some(&mut self.sink, b"\n")?;
                self.ragged = false;
            }
            let end = self.lines[until - 1].end;
            while begin < end {
                match write_some(&mut self.sink, &self.batch[begin..end]) {
                    Ok(written) => begin += written,
                    Err(error) => {
                        let ended = self.lines.partition_point(|line| line.end <= begin);
                        self.ragged = begin > ended.checked_sub(1).map_or(0, |last| self.lines[last].end);
                        // A line that lacks nothing but its end is read as a record, so it must not be told as lost.
                        *done = self.lines.partition_point(|line| line.end - 1 <= begin);
                        return Err(error);
                    }
                }
            }
            *done = until;
        }
        Ok(())
    }

    /// The end: `produced` records were handed over or dropped. Says what is missing, adds `stop` if the end is in
    /// order, and writes all, even if the target was in trouble a moment ago.
    pub fn finish(&mut self, produced: u64, stop: bool) {
        self.missed_up_to(produced);
        let mono_us = self.now.mono_us;
        if self.retry_at.is_some() {
            self.retry_at = Some(mono_us);
        }
        self.tell_lost(mono_us);
        if stop {
            self.push(self.next, self.next, mono_us, Event::Stop {});
        }
        self.flush();
    }
}

fn write_some(sink: &mut impl Sink, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match sink.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

#[cfg(test)]
#[path = "writer_tests.rs"]
mod tests;
