//! Parses a namespace's file: serde reads the TOML, then further checks follow that the schema does not express. Each rule and
//! delegation keeps its line.

use std::collections::BTreeMap;

use toml::Spanned;

use crate::book::UncertaintyPolicy;
use crate::file::{
    DeclaredRule, Delegate, MAX_FILE_BYTES, MAX_ITEMS, NamespaceFile, RuleFile, RuleFileError,
};
use crate::file_checks::{check_delegate, check_rule, path_problem};
use crate::file_schema::{FileSchema, OnDoubtSchema, RawDelegate, RawRule};
use crate::source_text::SourceText;

/// The Retry-After of a rejected client if the file states none, in milliseconds.
const DEFAULT_RETRY_MS: u32 = 1_000;

/// Parses and checks a file. The error names the file, the line and the key.
pub fn read(file: &RuleFile) -> Result<NamespaceFile, RuleFileError> {
    let text = complete_text(file)?;
    let source = SourceText::new(&file.path_on_disk, text);
    let raw: FileSchema = toml::from_str(text).map_err(|error| source.parser_error(&error))?;
    check(&source, raw)
}

/// The text of the file, if the file is not too large, is UTF-8 and does not look truncated.
fn complete_text(file: &RuleFile) -> Result<&str, RuleFileError> {
    let error = |why: &str| RuleFileError {
        file: file.path_on_disk.clone(),
        line: 0,
        key: "file".to_owned(),
        why: why.into(),
    };
    if file.text.len() > MAX_FILE_BYTES {
        return Err(error("larger than 1 MiB"));
    }
    let text = std::str::from_utf8(&file.text).map_err(|_| error("not UTF-8"))?;
    // A file truncated within its last line may still parse, with a different number in that line.
    if !text.ends_with('\n') {
        return Err(error("doesn't end with a line break: it may have been cut short"));
    }
    Ok(text)
}

fn check(source: &SourceText, raw: FileSchema) -> Result<NamespaceFile, RuleFileError> {
    let line = source.line(raw.namespace.span().start);
    let namespace = raw.namespace.into_inner();
    if let Some(why) = path_problem(&namespace) {
        return Err(source.error(line, "namespace", why));
    }
    if raw.rule.len() + raw.delegate.len() > MAX_ITEMS {
        return Err(source.error(0, "rule", format!("more than {MAX_ITEMS} rules and delegations")));
    }
    check_rule_count(source, raw.rules, raw.rule.len())?;
    let uncertainty_policy = uncertainty_policy(source, raw.on_doubt, raw.retry_ms)?;
    let delegates = check_delegates(source, &namespace, raw.delegate)?;
    let rules = check_rules(source, raw.rule)?;
    let revision = raw.revision.into_inner();
    Ok(NamespaceFile { namespace, line, owner: raw.owner, revision, uncertainty_policy, delegates, rules })
}

/// Compares the number of rules with the count stated in the file. A file truncated between two rules still parses; the stated
/// count detects it.
fn check_rule_count(
    source: &SourceText,
    stated: Option<Spanned<usize>>,
    count: usize,
) -> Result<(), RuleFileError> {
    let Some(stated) = stated else { return Ok(()) };
    if *stated.get_ref() == count {
        return Ok(());
    }
    let line = source.line(stated.span().start);
    Err(source.error(line, "rules", format!("{} rules were promised, {count} are here", stated.get_ref())))
}

fn uncertainty_policy(
    source: &SourceText,
    on_doubt: OnDoubtSchema,
    retry_ms: Option<Spanned<u32>>,
) -> Result<UncertaintyPolicy, RuleFileError> {
    match (on_doubt, retry_ms) {
        (OnDoubtSchema::Keep, None) => Ok(UncertaintyPolicy::Keep),
        (OnDoubtSchema::Keep, Some(retry)) => {
            let line = source.line(retry.span().start);
            Err(source.error(line, "retry_ms", "only goes with on_doubt = \"refuse\""))
        }
        (OnDoubtSchema::Refuse, retry) => {
            let retry_ms = retry.map_or(DEFAULT_RETRY_MS, Spanned::into_inner);
            Ok(UncertaintyPolicy::Refuse { retry_ms })
        }
    }
}

fn check_delegates(
    source: &SourceText,
    namespace: &str,
    raw: Vec<Spanned<RawDelegate>>,
) -> Result<Vec<Delegate>, RuleFileError> {
    let mut delegates = Vec::new();
    let mut children = BTreeMap::new();
    for raw in raw {
        let line = source.line(raw.span().start);
        let delegate = check_delegate(source, namespace, line, raw.into_inner())?;
        if let Some(first) = children.insert(delegate.to.clone(), line) {
            let why = format!("{} has a delegation on line {first}", delegate.to);
            return Err(source.error(line, "to", why));
        }
        delegates.push(delegate);
    }
    // A child can be handed over only to another child with a delegation in this file.
    for delegate in &delegates {
        if delegate.handed_to.as_ref().is_some_and(|to| *to == delegate.to || !children.contains_key(to)) {
            return Err(source.error(delegate.line, "handed_to", "names no other delegation of this file"));
        }
    }
    Ok(delegates)
}

fn check_rules(source: &SourceText, raw: Vec<Spanned<RawRule>>) -> Result<Vec<DeclaredRule>, RuleFileError> {
    let mut rules = Vec::new();
    let mut names = BTreeMap::new();
    for raw in raw {
        let line = source.line(raw.span().start);
        let rule = check_rule(source, line, raw.into_inner())?;
        if let Some(first) = names.insert(rule.name.clone(), line) {
            return Err(source.error(line, "name", format!("{} is on line {first} too", rule.name)));
        }
        rules.push(rule);
    }
    Ok(rules)
}
