//! Turns records into lines and lines into writes, and accounts for every one of them: each record handed over is written,
//! or is among those that a `dropped` line counts. The clock is a parameter.
//!
//! Drops need no counter. Records arrive with their `seq`, so a gap is what the full queue dropped; a failed write drops the
//! end of a batch, and a record that arrives while nothing can be written joins it. So the dropped records are always one run
//! that ends before the next line, and one `dropped` line in front of that reports it.

use crate::event::Event;
use crate::record::{MAX_LINE_BYTES, Record, SCHEMA};
use crate::sink::Sink;
use std::io;

/// Bytes of a batch before it is written: a write costs some microseconds, whatever its size.
const BATCH_BYTES: usize = 64 * 1024;
/// Between a failed write and its retry, in microseconds of the recorder's clock: a full disk is not free sooner.
const RETRY_INTERVAL: u64 = 1_000_000;

/// A record as the proxy's loop hands it over.
#[derive(Debug)]
pub(crate) struct Message {
    pub seq: u64,
    pub mono_us: u64,
    pub event: Event,
}

/// A line in the batch.
struct Line {
    /// Its end in the batch, in bytes.
    end: usize,
    /// The first `seq` that it stands for: a `dropped` line stands for several.
    first_seq: u64,
    is_dropped: bool,
}

/// How an incarnation ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndKind {
    /// By [`Recorder::close`](crate::Recorder::close): the last record is `stop`.
    Orderly,
    /// The recorder was dropped: there is no `stop`.
    Abandoned,
}

/// The present time on both clocks, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Now {
    pub mono_us: u64,
    pub wall_us: u64,
}

/// The writer of records to one sink.
pub(crate) struct Writer<S> {
    sink: S,
    /// The target's name in the log.
    target: String,
    now: Now,
    batch: Vec<u8>,
    lines: Vec<Line>,
    /// The `seq` after the last one that was seen, whether written or dropped.
    next_seq: u64,
    /// The first dropped record that no line reports yet.
    dropped_since: Option<u64>,
    /// What was written last is the beginning of a line.
    has_partial_line: bool,
    /// After a failure: nothing is written before this.
    retry_at: Option<u64>,
    written: u64,
}

impl<S: Sink> Writer<S> {
    pub fn new(sink: S, target: String) -> Self {
        Writer {
            sink,
            target,
            now: Now::default(),
            batch: Vec::with_capacity(BATCH_BYTES + 1024),
            lines: Vec::new(),
            next_seq: 0,
            dropped_since: None,
            has_partial_line: false,
            retry_at: None,
            written: 0,
        }
    }

    /// Opens the target, to learn at once if that fails.
    pub fn open(&mut self) -> io::Result<()> {
        self.has_partial_line |= self.sink.begin()?;
        Ok(())
    }

    /// Sets the present time, by which records are timed.
    pub fn set_now(&mut self, now: Now) {
        self.now = now;
    }

    /// Records written so far, `dropped` lines not counted.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Records dropped so far; exact when the batch is empty.
    pub fn dropped(&self) -> u64 {
        let waiting = self.lines.iter().filter(|line| !line.is_dropped).count() as u64;
        self.next_seq - self.written - waiting
    }

    /// Adds a record to the batch, and writes the batch when it is full.
    pub fn add(&mut self, message: Message) {
        let Message { seq, mono_us, event } = message;
        self.note_gap(seq);
        if self.retry_at.is_some() {
            self.next_seq = seq + 1;
            self.dropped_since.get_or_insert(seq);
            return;
        }
        self.push_dropped(mono_us);
        self.push(seq, seq, mono_us, event);
        if self.batch.len() >= BATCH_BYTES {
            self.flush();
        }
    }

    /// Records before this one that never arrived were dropped by the full queue.
    fn note_gap(&mut self, seq: u64) {
        if seq > self.next_seq {
            self.dropped_since.get_or_insert(self.next_seq);
            self.next_seq = seq;
        }
    }

    /// Adds a `dropped` line, if there are dropped records that no line reports.
    fn push_dropped(&mut self, mono_us: u64) {
        if let Some(since) = self.dropped_since.take() {
            let dropped = Event::Dropped { count: self.next_seq - since, since_seq: since };
            self.push(self.next_seq - 1, since, mono_us, dropped);
        }
    }

    fn push(&mut self, seq: u64, first_seq: u64, mono_us: u64, event: Event) {
        let is_dropped = matches!(event, Event::Dropped { .. });
        // By the offset of now: the wall clock is not read for each record.
        let wall_us = self.now.wall_us.saturating_add(mono_us).saturating_sub(self.now.mono_us);
        let begin = self.batch.len();
        let written = Record { v: SCHEMA, seq, wall_us, mono_us, event }.write_line(&mut self.batch);
        self.next_seq = seq + 1;
        if written.is_err() || self.batch.len() - begin > MAX_LINE_BYTES {
            self.batch.truncate(begin);
            self.dropped_since.get_or_insert(first_seq);
        } else {
            self.lines.push(Line { end: self.batch.len(), first_seq, is_dropped });
        }
    }

    /// Writes the batch. After a failure, retries once every [`RETRY_INTERVAL`].
    pub fn flush(&mut self) {
        if let Some(at) = self.retry_at {
            if self.now.mono_us < at {
                return;
            }
            // Reported at once, even if no record arrives for long.
            self.push_dropped(self.now.mono_us);
        }
        if self.lines.is_empty() {
            return;
        }
        let mut done = 0;
        let outcome = self.write_out(&mut done);
        let lines = &self.lines[..done];
        self.written += lines.iter().filter(|line| !line.is_dropped).count() as u64;
        match outcome {
            Ok(()) => self.write_succeeded(),
            Err(error) => self.write_failed(done, &error),
        }
        self.batch.clear();
        self.lines.clear();
    }

    fn write_succeeded(&mut self) {
        if self.retry_at.take().is_some() {
            let dropped = self.dropped();
            log::info!(
                "records are written to {} again, {dropped} were dropped since the start",
                self.target
            );
        }
    }

    /// After a failed write, of which the first `done` lines are complete: the others are dropped.
    fn write_failed(&mut self, done: usize, error: &io::Error) {
        self.dropped_since = self.lines.get(done).map(|line| line.first_seq).or(self.dropped_since);
        if self.retry_at.is_none() {
            log::warn!(
                "records cannot be written to {}: {error}; they are counted as dropped until they can",
                self.target
            );
        }
        self.retry_at = Some(self.now.mono_us + RETRY_INTERVAL);
        self.sink.close();
    }

    /// Writes the batch, as many lines at a time as there is room for; `done` counts complete lines.
    fn write_out(&mut self, done: &mut usize) -> io::Result<()> {
        self.has_partial_line |= self.sink.begin()?;
        let mut begin = 0;
        while let Some(line) = self.lines.get(*done) {
            let closing = u64::from(self.has_partial_line);
            let room = self.sink.room((line.end - begin) as u64 + closing)? - closing;
            let fit = |line: &Line| (line.end - begin) as u64 <= room;
            let until = *done + self.lines[*done..].partition_point(fit);
            if self.has_partial_line {
                // The rest of a partial line is never written: what follows begins a line of its own.
                write_some(&mut self.sink, b"\n")?;
                self.has_partial_line = false;
            }
            let end = self.lines[until - 1].end;
            while begin < end {
                match write_some(&mut self.sink, &self.batch[begin..end]) {
                    Ok(written) => begin += written,
                    Err(error) => {
                        let ended = self.lines.partition_point(|line| line.end <= begin);
                        self.has_partial_line =
                            begin > ended.checked_sub(1).map_or(0, |last| self.lines[last].end);
                        // A line that lacks nothing but its end is read as a record, so it must not be counted as dropped.
                        *done = self.lines.partition_point(|line| line.end - 1 <= begin);
                        return Err(error);
                    }
                }
            }
            *done = until;
        }
        Ok(())
    }

    /// Writes the rest: `produced` records were handed over or dropped. Reports the dropped ones, adds `stop` to an orderly end,
    /// and writes the batch, even if a write failed a moment ago.
    pub fn finish(&mut self, produced: u64, end: EndKind) {
        self.note_gap(produced);
        let mono_us = self.now.mono_us;
        if self.retry_at.is_some() {
            self.retry_at = Some(mono_us);
        }
        self.push_dropped(mono_us);
        if end == EndKind::Orderly {
            self.push(self.next_seq, self.next_seq, mono_us, Event::Stop {});
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
