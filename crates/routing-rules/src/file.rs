//! A namespace's file: TOML read by serde, then checked for what serde can't say. Each rule keeps the line it stands on.

use std::collections::{BTreeMap, BTreeSet};

use toml::Spanned;

use crate::book::{GroupRange, RuleKind, Strength, UncertaintyPolicy};
use crate::checked::{bad_path, delegate, rule};
use crate::file_schema::{FileSchema, OnDoubtSchema};

/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// The most rules and delegations in one file.
pub const MAX_ITEMS: usize = 5_000;
/// The deepest namespace: so many stand above it at most.
pub const MAX_DEPTH: usize = 16;
/// The longest name of one namespace, rule, tenant or the like, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// A file as it was found: nothing is known of its contents yet, not even whether they are text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleFile {
    /// Where it was found; it is only named in messages, and tells whose a broken file is.
    pub path_on_disk: String,
    /// Its bytes.
    pub text: Vec<u8>,
}

impl RuleFile {
    /// A file of these bytes.
    pub fn new(path_on_disk: impl Into<String>, text: impl Into<Vec<u8>>) -> RuleFile {
        RuleFile { path_on_disk: path_on_disk.into(), text: text.into() }
    }
}

/// Why a file can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{file}:{line}: {key}: {why}")]
pub struct RuleFileError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 if it is about the file as a whole.
    pub line: u32,
    /// The key, or what stands on that line.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

/// What one namespace's file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamespaceFile {
    /// The namespace's path.
    pub namespace: String,
    /// The line that names the namespace.
    pub line: u32,
    /// Who answers for it.
    pub owner: String,
    /// The revision; each content has its own.
    pub revision: u64,
    /// What becomes of its requests while the version is in doubt.
    pub uncertainty_policy: UncertaintyPolicy,
    /// What it leaves to its children, in the file's order.
    pub delegates: Vec<Delegate>,
    /// Its rules, in the file's order.
    pub rules: Vec<DeclaredRule>,
}

/// What a namespace leaves to one child. An empty set means all that the namespace has itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// The child's path.
    pub to: String,
    /// The line of the delegation.
    pub line: u32,
    /// The tenants that the child may speak of.
    pub tenants: BTreeSet<String>,
    /// The classes that it may speak of.
    pub classes: BTreeSet<String>,
    /// The score groups that it may speak of.
    pub groups: Vec<GroupRange>,
    /// The halls that it may use.
    pub halls: BTreeSet<String>,
    /// The hardware classes that it may use.
    pub hardware: BTreeSet<String>,
    /// Its part of the namespace's connections.
    pub connections: Option<u64>,
    /// Whether the child stays on its last good revision.
    pub frozen: bool,
    /// Which namespace took over from the child: the child's file counts no more.
    pub handed_to: Option<String>,
}

/// A rule as its file states it: an empty set means all that its namespace has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredRule {
    /// Its name.
    pub name: String,
    /// The line it starts on.
    pub line: u32,
    /// Whether it must hold.
    pub strength: Strength,
    /// Which of two wishes of one depth goes first.
    pub priority: i32,
    /// The tenants it names.
    pub tenants: BTreeSet<String>,
    /// The classes it names.
    pub classes: BTreeSet<String>,
    /// The score groups it names.
    pub groups: Vec<GroupRange>,
    /// What it asks for.
    pub kind: RuleKind,
}

/// Where in a file something is, and the way to complain of it.
pub(crate) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    /// Where each line starts, so that a line is found without reading the file again.
    starts: Vec<usize>,
}

impl Reader<'_> {
    pub fn line(&self, at: usize) -> u32 {
        u32::try_from(self.starts.partition_point(|start| *start <= at)).unwrap_or(u32::MAX)
    }

    pub fn bad(&self, line: u32, key: &str, why: impl Into<String>) -> RuleFileError {
        RuleFileError { file: self.file.to_owned(), line, key: key.to_owned(), why: why.into() }
    }

    /// What the parser complains of: the key is what its line starts with.
    fn parser(&self, error: &toml::de::Error) -> RuleFileError {
        let line = error.span().map_or(0, |span| self.line(span.start));
        let text = self.text.lines().nth((line as usize).saturating_sub(1)).unwrap_or_default();
        let key = text.split('=').next().unwrap_or_default().trim();
        let key: String = key.chars().take(MAX_NAME_BYTES).collect();
        self.bad(line, &key, error.message())
    }
}

/// Reads a file. The error tells file, line and key.
pub fn read(file: &RuleFile) -> Result<NamespaceFile, RuleFileError> {
    let name = file.path_on_disk.as_str();
    let whole =
        |why: &str| RuleFileError { file: name.to_owned(), line: 0, key: "file".to_owned(), why: why.into() };
    if file.text.len() > MAX_FILE_BYTES {
        return Err(whole("larger than 1 MiB"));
    }
    let text = std::str::from_utf8(&file.text).map_err(|_| whole("not UTF-8"))?;
    // A cut in the middle of the last line may leave a line that still reads, with another number in it.
    if !text.ends_with('\n') {
        return Err(whole("doesn't end with a line break: it may have been cut short"));
    }
    let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
    let starts = std::iter::once(0).chain(newlines).collect();
    let reader = Reader { file: name, text, starts };
    let raw: FileSchema = toml::from_str(text).map_err(|error| reader.parser(&error))?;
    checked(&reader, raw)
}

fn checked(reader: &Reader, raw: FileSchema) -> Result<NamespaceFile, RuleFileError> {
    let line = reader.line(raw.namespace.span().start);
    let namespace = raw.namespace.into_inner();
    if let Some(why) = bad_path(&namespace) {
        return Err(reader.bad(line, "namespace", why));
    }
    if raw.rule.len() + raw.delegate.len() > MAX_ITEMS {
        return Err(reader.bad(0, "rule", format!("more than {MAX_ITEMS} rules and delegations")));
    }
    // A cut between two rules leaves a file that reads well; the count is there to catch it.
    if let Some(count) = raw.rules {
        let line = reader.line(count.span().start);
        if *count.get_ref() != raw.rule.len() {
            let why = format!("{} rules were promised, {} are here", count.get_ref(), raw.rule.len());
            return Err(reader.bad(line, "rules", why));
        }
    }
    let uncertainty_policy = match (raw.on_doubt, raw.retry_ms) {
        (OnDoubtSchema::Keep, None) => UncertaintyPolicy::Keep,
        (OnDoubtSchema::Keep, Some(retry)) => {
            let line = reader.line(retry.span().start);
            return Err(reader.bad(line, "retry_ms", "only goes with on_doubt = \"refuse\""));
        }
        (OnDoubtSchema::Refuse, retry) => {
            UncertaintyPolicy::Refuse { retry_ms: retry.map_or(DEFAULT_RETRY_MS, Spanned::into_inner) }
        }
    };
    let mut delegates = Vec::new();
    let mut children = BTreeMap::new();
    for raw in raw.delegate {
        let line = reader.line(raw.span().start);
        let delegate = delegate(reader, &namespace, line, raw.into_inner())?;
        if let Some(first) = children.insert(delegate.to.clone(), line) {
            return Err(reader.bad(line, "to", format!("{} has a delegation on line {first}", delegate.to)));
        }
        delegates.push(delegate);
    }
    // What is handed over goes to one that has something itself.
    for delegate in &delegates {
        if delegate.handed_to.as_ref().is_some_and(|to| *to == delegate.to || !children.contains_key(to)) {
            return Err(reader.bad(delegate.line, "handed_to", "names no other delegation of this file"));
        }
    }
    let mut rules = Vec::new();
    let mut names = BTreeMap::new();
    for raw in raw.rule {
        let line = reader.line(raw.span().start);
        let rule = rule(reader, line, raw.into_inner())?;
        if let Some(first) = names.insert(rule.name.clone(), line) {
            return Err(reader.bad(line, "name", format!("{} is on line {first} too", rule.name)));
        }
        rules.push(rule);
    }
    let revision = raw.revision.into_inner();
    Ok(NamespaceFile { namespace, line, owner: raw.owner, revision, uncertainty_policy, delegates, rules })
}

/// The delay told to a refused client where the file states none.
const DEFAULT_RETRY_MS: u32 = 1_000;
