//! Reads records back: from anything with lines, or from a file and those that it was rotated to.
//!
//! Nothing that a file can hold stops it. What is wrong or new is an item of its own, in its place among the
//! records, and the rest is read on.

use crate::finding::Finding;
use crate::parse::{Parsed, parse};
use crate::record::{LONGEST_LINE, Record};
use crate::sequence::Sequence;
use crate::sink::{identity, rotated};
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Unknown fields that are remembered as told; rubbish could name any number.
const FIELDS_TOLD: usize = 256;

/// Where a line stands.
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

/// What is remembered from line to line, and from file to file.
#[derive(Default)]
struct Memory {
    sequence: Sequence,
    newer: Option<u32>,
    told: BTreeSet<(String, String)>,
}

impl Memory {
    /// What a line says, in order.
    fn digest(&mut self, text: &[u8], is_ended: bool) -> Vec<LineContent> {
        let Parsed { record, step, newer, mut findings } = parse(text);
        let cut = !is_ended || (text.first() == Some(&b'{') && text.last() != Some(&b'}'));
        if step.is_none() && cut {
            findings = vec![Finding::Truncated { bytes: text.len() }];
        }
        findings.retain(|finding| match finding {
            Finding::UnknownField { event, field } if self.told.len() < FIELDS_TOLD => {
                self.told.insert((event.clone(), field.clone()))
            }
            Finding::UnknownField { event, field } => !self.told.contains(&(event.clone(), field.clone())),
            _ => true,
        });
        if step.is_some() && self.newer != newer {
            self.newer = newer;
            findings.extend(newer.map(|v| Finding::NewerSchema { v }));
        }
        findings.extend(step.and_then(|(seq, step)| self.sequence.take(seq, step)));
        findings.into_iter().map(LineContent::Finding).chain(record.map(LineContent::Record)).collect()
    }
}

/// Reads the lines of one source.
pub struct Reader<R> {
    source: Option<R>,
    file: Option<Arc<Path>>,
    line: u64,
    text: Vec<u8>,
    memory: Memory,
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
            memory: Memory::default(),
            ready: VecDeque::new(),
        }
    }

    /// Goes on with another source, as if its lines followed.
    fn go_on(&mut self, source: R, file: Arc<Path>) {
        (self.source, self.file, self.line) = (Some(source), Some(file), 0);
    }

    /// Takes one line in; false at the end.
    fn read(&mut self) -> bool {
        let Some(source) = &mut self.source else { return false };
        self.text.clear();
        let bound = LONGEST_LINE as u64 + 1;
        let read = source.by_ref().take(bound).read_until(b'\n', &mut self.text);
        let (contents, more) = match read {
            Ok(0) => (Vec::new(), false),
            Err(error) => (vec![LineContent::Finding(Finding::Unreadable { why: error.to_string() })], false),
            Ok(_) if self.text.len() > LONGEST_LINE => {
                let ended = self.text.last() == Some(&b'\n');
                let skipped = if ended { Ok(0) } else { source.skip_until(b'\n') };
                let unreadable =
                    skipped.as_ref().err().map(|error| Finding::Unreadable { why: error.to_string() });
                let findings = [Some(Finding::TooLong), unreadable];
                (findings.into_iter().flatten().map(LineContent::Finding).collect(), skipped.is_ok())
            }
            Ok(_) => {
                let (text, is_ended) = match self.text.strip_suffix(b"\n") {
                    Some(text) => (text, true),
                    None => (self.text.as_slice(), false),
                };
                let contents = if text.trim_ascii().is_empty() {
                    // The writer ends what was cut off with a line end, and that may fall to a new file.
                    Vec::new()
                } else {
                    self.memory.digest(text, is_ended)
                };
                (contents, true)
            }
        };
        self.line += 1;
        let location = Location { file: self.file.clone(), line: self.line };
        self.ready.extend(contents.into_iter().map(|content| Line { location: location.clone(), content }));
        if !more {
            self.source = None;
        }
        more
    }
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        while self.ready.is_empty() && self.read() {}
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
        names.extend(numbers(path)?.into_iter().map(|number| rotated(path, number)));
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
fn numbers(path: &Path) -> io::Result<Vec<u32>> {
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
            self.reader.go_on(BufReader::new(source), file);
        }
    }
}
