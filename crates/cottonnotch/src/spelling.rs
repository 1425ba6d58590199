//! Suggestions for misspelt names.

/// Returns the name that was probably meant: the most similar one, if at most a third of its letters are wrong,
/// missing, superfluous or swapped.
pub fn nearest_name<'a>(given: &str, names: &[&'a str]) -> Option<&'a str> {
    let distance = |name: &str| strsim::damerau_levenshtein(&given.to_lowercase(), name);
    let (distance, nearest) = names.iter().map(|name| (distance(name), *name)).min()?;
    (distance <= nearest.chars().count().div_ceil(3)).then_some(nearest)
}
