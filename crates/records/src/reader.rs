//! Reads records back: from anything with lines, or from a file and those that it was rotated to.
//!
//! Nothing that a file can hold stops it. What is wrong or new is an item of its own, in its place among the
//! records, and the rest is read on.

use crate::finding::Finding;
use crate::parse::{Parsed, parse};
use crate::record::{MAX_LINE_BYTES, Record};
use crate::sequence::Sequence;
use crate::sink::{identity, rotated};
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Unknown fields that are remembered as reported; a malformed file could name any number.
const MAX_REPORTED_FIELDS: usize = 256;

/// The location of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its file, when a rotated set is read.
    pub file: Option<Arc<Path>>,
    /// Its number in the file, from 1.
    pub line: u64,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.file {
            Some(file) => write!(f, "{}:{}", file.display(), self.line),
            None => write!(f, "line {}", self.line),
        }
    }
}

/// An item: findings about a line come before its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Where it stands.
    pub location: Location,
    /// What was found there.
    pub content: LineContent,
}

/// What a line gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LineContent {
    /// A record.
    Record(Record),
    /// Something wrong, missing or new.
    Finding(Finding),
}

/// State that is carried from line to line, and from file to file.
#[derive(Default)]
struct ReaderState {
    sequence: Sequence,
    newer: Option<u32>,
    reported_fields: BTreeSet<(String, String)>,
}

impl ReaderState {
    /// Findings of a line in their order, then its record.
    fn interpret(&mut self, text: &[u8], is_ended: bool) -> Vec<LineContent> {
        let Parsed { record, step, newer, mut findings } = parse(text);
        let is_partial = !is_ended || (text.first() == Some(&b'{') && text.last() != Some(&b'}'));
        if step.is_none() && is_partial {
            findings = vec![Finding::Truncated { bytes: text.len() }];
        }
        findings.retain(|finding| match finding {
            Finding::UnknownField { event, field } if self.reported_fields.len() < MAX_REPORTED_FIELDS => {
                self.reported_fields.insert((event.clone(), field.clone()))
            }
            Finding::UnknownField { event, field } => {
                !self.reported_fields.contains(&(event.clone(), field.clone()))
            }
            _ => true,
        });
        if step.is_some() && self.newer != newer {
            self.newer = newer;
            findings.extend(newer.map(|v| Finding::NewerSchema { v }));
        }
        findings.extend(step.and_then(|(seq, step)| self.sequence.advance(seq, step)));
        findings.into_iter().map(LineContent::Finding).chain(record.map(LineContent::Record)).collect()
    }
}

/// Reads the lines of one source.
pub struct Reader<R> {
    source: Option<R>,
    file: Option<Arc<Path>>,
    line: u64,
    text: Vec<u8>,
    state: ReaderState,
    ready: VecDeque<Line>,
}

impl<R: BufRead> Reader<R> {
    /// Reads from here on.
    pub fn new(source: R) -> Self {
        Reader {
            source: Some(source),
            file: None,
            line: 0,
            text: Vec::new(),
            state: ReaderState::default(),
            ready: VecDeque::new(),
        }
    }

    /// Continues with another source, as if its lines followed.
    fn continue_with(&mut self, source: R, file: Arc<Path>) {
        (self.source, self.file, self.line) = (Some(source), Some(file), 0);
    }

    /// Reads one line; false at the end.
    fn read_line(&mut self) -> bool {
        let Some(mut source) = self.source.take() else { return false };
        let (contents, has_more) = self.read_contents(&mut source);
        self.line += 1;
        let location = Location { file: self.file.clone(), line: self.line };
        self.ready.extend(contents.into_iter().map(|content| Line { location: location.clone(), content }));
        self.source = has_more.then_some(source);
        has_more
    }

    /// The contents of the source's next line, and whether the source may have another one.
    fn read_contents(&mut self, source: &mut R) -> (Vec<LineContent>, bool) {
        self.text.clear();
        let bound = MAX_LINE_BYTES as u64 + 1;
        match source.by_ref().take(bound).read_until(b'\n', &mut self.text) {
            Ok(0) => (Vec::new(), false),
            Err(error) => (vec![unreadable(&error)], false),
            Ok(_) if self.text.len() > MAX_LINE_BYTES => self.skip_long_line(source),
            Ok(_) => (self.interpret_line(), true),
        }
    }

    /// Passes over the rest of a line that is too long.
    fn skip_long_line(&self, source: &mut R) -> (Vec<LineContent>, bool) {
        let is_ended = self.text.last() == Some(&b'\n');
        let skipped = if is_ended { Ok(0) } else { source.skip_until(b'\n') };
        let mut contents = vec![LineContent::Finding(Finding::TooLong)];
        contents.extend(skipped.as_ref().err().map(unreadable));
        (contents, skipped.is_ok())
    }

    fn interpret_line(&mut self) -> Vec<LineContent> {
        let (text, is_ended) = match self.text.strip_suffix(b"\n") {
            Some(text) => (text, true),
            None => (self.text.as_slice(), false),
        };
        // The writer ends a partial line with a line end, which may fall to a new file.
        if text.trim_ascii().is_empty() { Vec::new() } else { self.state.interpret(text, is_ended) }
    }
}

fn unreadable(error: &io::Error) -> LineContent {
    LineContent::Finding(Finding::Unreadable { why: error.to_string() })
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        while self.ready.is_empty() && self.read_line() {}
        self.ready.pop_front()
    }
}

/// Reads a file and those that it was rotated to, the oldest first.
pub struct RotatedSet {
    /// Still to be read, the next one last.
    files: Vec<(Arc<Path>, File)>,
    reader: Reader<BufReader<File>>,
}

impl RotatedSet {
    /// Opens `path` and whatever of `path.1`, `path.2` ... there is. A writer may go on meanwhile: what it rotates is
    /// read once. Fails if none of them is there, or one can't be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let mut names = vec![path.to_owned()];
        names.extend(rotated_numbers(path)?.into_iter().map(|number| rotated(path, number)));
        let (mut files, mut seen): (Vec<(Arc<Path>, File)>, _) = (Vec::new(), BTreeSet::new());
        // The newest first: what is rotated in between is met again under its next name, and none is missed.
        for name in names {
            match File::open(&name) {
                Ok(file) => {
                    if seen.insert(identity(&file.metadata()?)) {
                        files.push((name.into(), file));
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error),
            }
        }
        let Some((file, source)) = files.pop() else { return Err(io::ErrorKind::NotFound.into()) };
        let mut reader = Reader::new(BufReader::new(source));
        reader.file = Some(file);
        Ok(RotatedSet { files, reader })
    }
}

/// The numbers of the rotated files, the newest first, and one more: a rotation may be under way.
fn rotated_numbers(path: &Path) -> io::Result<Vec<u32>> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    let name = path.file_name().unwrap_or_default().as_encoded_bytes();
    let mut numbers = BTreeSet::new();
    for entry in folder.map_or_else(|| PathBuf::from("."), Path::to_owned).read_dir()? {
        let entry = entry?.file_name();
        let rest = entry.as_encoded_bytes().strip_prefix(name).and_then(|rest| rest.strip_prefix(b"."));
        let number = rest.and_then(|digits| std::str::from_utf8(digits).ok()?.parse::<u32>().ok());
        // Guards against NAME.01 and NAME.+1, which the writer doesn't make.
        let number = number.filter(|n| *n > 0 && rest == Some(n.to_string().as_bytes()));
        numbers.extend(number);
    }
    numbers.extend(numbers.last().map_or(Some(1), |last| last.checked_add(1)));
    Ok(numbers.into_iter().collect())
}

impl Iterator for RotatedSet {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        loop {
            if let Some(line) = self.reader.next() {
                return Some(line);
            }
            let (file, source) = self.files.pop()?;
            self.reader.continue_with(BufReader::new(source), file);
        }
    }
}
