//! Selects the content of each namespace that the merge tries: the content of its file, or the last good content if the file
//! is refused.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::cache::Cache;
use crate::compiled::ParsedFile;
use crate::conflict::{Conflict, RuleLocation, Witness};
use crate::file::{RuleFile, RuleFileError};
use crate::history::{Entry, History};
use crate::inventory::Inventory;

/// How new a content is. A greater value means a newer content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Age {
    /// The content has been in force since this step.
    Good(u64),
    /// The content is first seen in this merge.
    New,
    /// The content was held back in an earlier merge. It counts as newer than later content, so that it never causes later
    /// content to be held back.
    HeldBackBefore,
    /// The namespace has no content.
    Absent,
    /// The delegation to the namespace was void after an earlier merge.
    Void,
}

/// The new and the last good content of one namespace.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The content of the file; `None` if it is refused or equal to the last good content.
    pub new: Option<Arc<ParsedFile>>,
    /// The last good content, and the step at which it was accepted.
    pub good: Option<(Arc<ParsedFile>, u64)>,
    /// The digest of the content that an earlier merge held back.
    held_back_digest: Option<String>,
}

impl Candidate {
    /// The content that the merge tries: the new one, otherwise the last good one.
    pub fn content(&self) -> Option<&Arc<ParsedFile>> {
        self.new.as_ref().or(self.good.as_ref().map(|(parsed, _)| parsed))
    }

    pub fn age(&self) -> Age {
        let Some(parsed) = self.content() else { return Age::Absent };
        if self.held_back_digest.as_deref() == Some(&digest(parsed)) {
            return Age::HeldBackBefore;
        }
        match (&self.new, &self.good) {
            (None, Some((_, taken))) => Age::Good(*taken),
            _ => Age::New,
        }
    }

    /// Whether the candidate has a good content to fall back to from its new content.
    pub fn has_fallback(&self) -> bool {
        self.new.is_some() && self.good.is_some()
    }

    /// Drops the new content in favour of the last good one. Returns false if there was no new content or there is no good one.
    pub fn fall_back(&mut self) -> bool {
        self.new.take().is_some() && self.good.is_some()
    }
}

/// The digest of a content, in the form in which the history stores it.
pub(crate) fn digest(parsed: &ParsedFile) -> String {
    blake3::Hash::from(parsed.hash).to_hex().to_string()
}

/// The candidates of all namespaces, and the files that were refused, before the namespaces are checked against one another.
#[derive(Debug, Default)]
pub(crate) struct CandidateSet {
    pub candidates: BTreeMap<String, Candidate>,
    /// The content of the newest revision of each namespace that has a readable file.
    pub newest: BTreeMap<String, Arc<ParsedFile>>,
    /// The namespaces whose file is refused by itself or that are held back for a conflict, with the reason and the other
    /// namespace of the conflict.
    pub held_back: BTreeMap<String, (String, Option<String>)>,
    /// The namespaces in `held_back` whose file is refused by itself.
    pub refused: Vec<String>,
    pub conflicts: Vec<Conflict>,
    /// The children whose delegations are void.
    pub void: BTreeSet<String>,
}

/// Parses the files and collects the candidate of each namespace.
pub(crate) fn collect_candidates(
    last: &History,
    files: &[RuleFile],
    inventory: &Inventory,
    cache: &mut Cache,
) -> CandidateSet {
    let mut set = CandidateSet::default();
    let (by_namespace, broken) = parse_files(files, cache);
    for (path, parsed_files) in by_namespace {
        add_readable(&mut set, &path, &parsed_files, last, inventory, cache);
    }
    for error in broken {
        add_broken(&mut set, error, last, inventory, cache);
    }
    // A frozen namespace stays in force even if its file is removed. This loop runs last because the freeze is stated in the
    // parent's file.
    for (path, entry) in &last.namespaces {
        if !set.candidates.contains_key(path) && entry.good.is_some() && is_frozen(path, &set) {
            insert_candidate(&mut set, path, None, Some(entry), cache);
        }
    }
    set
}

/// The readable files by namespace, and the errors of the others. The result does not depend on the order of the files.
fn parse_files(
    files: &[RuleFile],
    cache: &mut Cache,
) -> (BTreeMap<String, Vec<Arc<ParsedFile>>>, Vec<RuleFileError>) {
    let mut files: Vec<&RuleFile> = files.iter().collect();
    files.sort_unstable();
    files.dedup();
    let mut broken = Vec::new();
    let mut by_namespace = BTreeMap::<String, Vec<Arc<ParsedFile>>>::new();
    for file in files {
        match cache.parse(file) {
            Ok(parsed) => by_namespace.entry(parsed.file.namespace.clone()).or_default().push(parsed),
            Err(error) => broken.push(error),
        }
    }
    (by_namespace, broken)
}

/// Adds a namespace that has readable files: its newest revision, unless that is refused.
fn add_readable(
    set: &mut CandidateSet,
    path: &str,
    parsed_files: &[Arc<ParsedFile>],
    last: &History,
    inventory: &Inventory,
    cache: &mut Cache,
) {
    let entry = last.namespaces.get(path);
    let checked = newest_revision(parsed_files, inventory).and_then(|parsed| {
        set.newest.insert(path.to_owned(), parsed.clone());
        match entry.and_then(|entry| last_good(entry, cache)) {
            Some((good, _)) => check_revision(&parsed, &good, inventory).map(|()| parsed),
            None => Ok(parsed),
        }
    });
    let new = match checked {
        Ok(parsed) => Some(parsed),
        Err(conflict) => {
            refuse_file(set, path, *conflict);
            None
        }
    };
    insert_candidate(set, path, new, entry, cache);
}

/// Adds the conflict for an unreadable file and, if its namespace is known, the last good content of that namespace.
fn add_broken(
    set: &mut CandidateSet,
    error: RuleFileError,
    last: &History,
    inventory: &Inventory,
    cache: &mut Cache,
) {
    let path = namespace_of_broken_file(&error, last, set, inventory);
    let conflict = Conflict::InvalidFile { namespace: path.clone(), error };
    match path {
        Some(path) => {
            refuse_file(set, &path, conflict);
            insert_candidate(set, &path, None, last.namespaces.get(&path), cache);
        }
        None => set.conflicts.push(conflict),
    }
}

/// Whether the parent's candidate content freezes the namespace.
fn is_frozen(path: &str, set: &CandidateSet) -> bool {
    let parent = crate::compiled::parent_of(path).and_then(|parent| set.candidates.get(parent));
    let delegate = parent.and_then(Candidate::content).and_then(|parsed| parsed.delegate(path));
    delegate.is_some_and(|delegate| delegate.frozen)
}

fn refuse_file(set: &mut CandidateSet, path: &str, conflict: Conflict) {
    let other = conflict.namespaces().into_iter().find(|other| *other != path).map(str::to_owned);
    set.held_back.entry(path.to_owned()).or_insert((conflict.to_string(), other));
    set.refused.push(path.to_owned());
    set.conflicts.push(conflict);
}

/// Adds the candidate of a namespace, unless it has neither a new nor a good content.
fn insert_candidate(
    set: &mut CandidateSet,
    path: &str,
    new: Option<Arc<ParsedFile>>,
    entry: Option<&Entry>,
    cache: &mut Cache,
) {
    let mut good = entry.and_then(|entry| last_good(entry, cache));
    let mut new = new;
    if let (Some(parsed), Some((last, _))) = (&new, &mut good)
        && parsed.hash == last.hash
    {
        // The same content, possibly from a file of another name, keeps the age of the good content.
        *last = parsed.clone();
        new = None;
    }
    if new.is_some() || good.is_some() {
        let held_back_digest = entry.and_then(|entry| entry.refused.clone());
        set.candidates.insert(path.to_owned(), Candidate { new, good, held_back_digest });
    }
}

/// The last good content and the step at which it was accepted. `None` if there is none, or if it can no longer be parsed, for
/// example by a newer version of the program.
fn last_good(entry: &Entry, cache: &mut Cache) -> Option<(Arc<ParsedFile>, u64)> {
    let good = entry.good.as_ref()?;
    Some((cache.parse_good_revision(&good.file, &good.text)?, good.taken))
}

/// The file of a namespace with the newest revision. All files of that revision must have the same content.
fn newest_revision(
    parsed_files: &[Arc<ParsedFile>],
    inventory: &Inventory,
) -> Result<Arc<ParsedFile>, Box<Conflict>> {
    let revision = parsed_files.iter().map(|parsed| parsed.file.revision).max().unwrap_or_default();
    let mut newest = parsed_files.iter().filter(|parsed| parsed.file.revision == revision);
    // The files are sorted by path, so the first one does not depend on their original order.
    let Some(first) = newest.next() else {
        let error =
            RuleFileError { file: String::new(), line: 0, key: String::new(), why: "no file".to_owned() };
        return Err(Box::new(Conflict::InvalidFile { namespace: None, error }));
    };
    match newest.find(|parsed| parsed.hash != first.hash) {
        Some(other) => Err(Box::new(duplicate_revision(first, other, inventory))),
        None => Ok(first.clone()),
    }
}

/// Checks that a content is newer than the last good one or equal to it.
fn check_revision(
    parsed: &ParsedFile,
    good: &ParsedFile,
    inventory: &Inventory,
) -> Result<(), Box<Conflict>> {
    if parsed.file.revision < good.file.revision {
        return Err(Box::new(Conflict::OldRevision {
            one: parsed.location(parsed.file.line, ""),
            stated: parsed.file.revision,
            last: good.file.revision,
        }));
    }
    if parsed.file.revision == good.file.revision && parsed.hash != good.hash {
        return Err(Box::new(duplicate_revision(parsed, good, inventory)));
    }
    Ok(())
}

/// The conflict of two contents of one revision. The witness is a request of the first rule that only one of the contents has,
/// or a request without any restriction if they have the same rules.
fn duplicate_revision(one: &ParsedFile, other: &ParsedFile, inventory: &Inventory) -> Conflict {
    let differing_rule = one.file.rules.iter().find(|rule| !other.file.rules.contains(rule));
    let differing_rule =
        differing_rule.or(other.file.rules.iter().find(|rule| !one.file.rules.contains(rule)));
    Conflict::DuplicateRevision {
        one: one.location(one.file.line, ""),
        other: other.location(other.file.line, ""),
        revision: one.file.revision,
        witness: sample_witness(differing_rule, inventory),
    }
}

/// A witness with a request that the rule applies to, or with any request if there is no rule.
pub(crate) fn sample_witness(rule: Option<&crate::file::DeclaredRule>, inventory: &Inventory) -> Witness {
    let (tenants, classes, groups) = rule
        .map(|rule| (rule.tenants.clone(), rule.classes.clone(), rule.groups.clone()))
        .unwrap_or_default();
    let on = crate::book::Selector { tenants, classes, groups };
    Witness::new(&inventory.sample(&on), None)
}

/// The namespace that a broken file is attributed to: the one whose last good content was read from this path, or the one that
/// the path names. A namespace that has another, readable file is never chosen.
fn namespace_of_broken_file(
    error: &RuleFileError,
    last: &History,
    set: &CandidateSet,
    inventory: &Inventory,
) -> Option<String> {
    let has_no_readable_file = |path: &&String| !set.newest.contains_key(*path);
    let was_read_from = |entry: &Entry| entry.good.as_ref().is_some_and(|good| good.file == error.file);
    let by_file = last.namespaces.iter().filter(|(_, entry)| was_read_from(entry)).map(|(path, _)| path);
    if let Some(path) = by_file.clone().find(has_no_readable_file) {
        return Some(path.clone());
    }
    let stem = error.file.strip_suffix(".toml").unwrap_or(&error.file);
    let delegated =
        set.candidates.values().filter_map(Candidate::content).flat_map(|parsed| &parsed.file.delegates);
    let known_paths =
        last.namespaces.keys().chain(delegated.map(|delegate| &delegate.to)).chain([&inventory.root]);
    let is_named_by_file = |path: &&String| {
        stem.strip_suffix(path.as_str())
            .is_some_and(|directory| directory.is_empty() || directory.ends_with('/'))
    };
    known_paths.filter(is_named_by_file).filter(has_no_readable_file).max_by_key(|path| path.len()).cloned()
}

/// The location of a namespace that has no file.
pub(crate) fn location_without_file(path: &str) -> RuleLocation {
    RuleLocation { namespace: path.to_owned(), file: String::new(), line: 0, name: String::new() }
}
