//! Ranges of score groups: their notation in files, and operations on sorted, disjoint lists of ranges.

use serde::Deserialize;

use crate::book::GroupRange;

/// A range as written in a file: `"0x10"`, `"0x10-0x1f"`, `16`, or `[16, 31]`.
#[derive(Clone, Debug, Deserialize)]
// `check` prints this text for a range of another type. The wording is fixed, so it still has the enum's former name.
#[serde(untagged, expecting = "data did not match any variant of untagged enum Stated")]
pub(crate) enum GroupText {
    Text(String),
    One(u64),
    Pair([u64; 2]),
}

/// The reason why a range is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum GroupError {
    #[error("{last:#x} comes before {first:#x}")]
    Reversed { first: u64, last: u64 },
    #[error("{0:?} is no group in hex")]
    NotHex(String),
    #[error("{0:?} is more than 64 bits")]
    TooLarge(String),
}

/// The smallest sorted list of disjoint ranges that covers the stated ones.
pub(crate) fn normalize(stated: &[GroupText]) -> Result<Vec<GroupRange>, GroupError> {
    let mut ranges = stated.iter().map(parse_range).collect::<Result<Vec<_>, _>>()?;
    ranges.sort_unstable();
    let mut normalized: Vec<GroupRange> = Vec::with_capacity(ranges.len());
    for range in ranges {
        match normalized.last_mut() {
            Some(last) if range.first <= last.last.saturating_add(1) => last.last = last.last.max(range.last),
            _ => normalized.push(range),
        }
    }
    Ok(normalized)
}

fn parse_range(stated: &GroupText) -> Result<GroupRange, GroupError> {
    let (first, last) = match stated {
        GroupText::One(group) => (*group, *group),
        GroupText::Pair([first, last]) => (*first, *last),
        GroupText::Text(text) => match text.split_once('-') {
            Some((first, last)) => (parse_hex(first)?, parse_hex(last)?),
            None => (parse_hex(text)?, parse_hex(text)?),
        },
    };
    if last < first {
        return Err(GroupError::Reversed { first, last });
    }
    Ok(GroupRange { first, last })
}

/// Parses a hexadecimal number with or without `0x`, the notation of groups in requests.
fn parse_hex(text: &str) -> Result<u64, GroupError> {
    let digits = text.trim();
    let digits = digits.strip_prefix("0x").unwrap_or(digits);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(GroupError::NotHex(text.to_owned()));
    }
    u64::from_str_radix(digits, 16).map_err(|_| GroupError::TooLarge(text.to_owned()))
}

/// The intersection of two lists. An empty list means no groups here, unlike in a selector, where it means any; the caller
/// handles that case.
pub(crate) fn intersection(one: &[GroupRange], other: &[GroupRange]) -> Vec<GroupRange> {
    let (mut one_index, mut other_index, mut intersection) = (0, 0, Vec::new());
    while let (Some(a), Some(b)) = (one.get(one_index), other.get(other_index)) {
        let (first, last) = (a.first.max(b.first), a.last.min(b.last));
        if first <= last {
            intersection.push(GroupRange { first, last });
        }
        if a.last < b.last { one_index += 1 } else { other_index += 1 }
    }
    intersection
}

/// The first group in `one` that is not in `other`.
pub(crate) fn first_missing(one: &[GroupRange], other: &[GroupRange]) -> Option<u64> {
    for range in one {
        let mut next = range.first;
        loop {
            let index = other.partition_point(|covering| covering.last < next);
            match other.get(index) {
                Some(covering) if covering.first <= next => {
                    if covering.last >= range.last {
                        break;
                    }
                    next = covering.last + 1;
                }
                _ => return Some(next),
            }
        }
    }
    None
}
