//! The serde schema of a namespace's file. The values are not checked yet.

use std::collections::BTreeSet;

use serde::Deserialize;
use toml::Spanned;

use crate::book::{MoveCondition, Strength};
use crate::groups;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FileSchema {
    pub namespace: Spanned<String>,
    #[serde(default)]
    pub owner: String,
    pub revision: Spanned<u64>,
    #[serde(default)]
    pub on_doubt: OnDoubtSchema,
    pub retry_ms: Option<Spanned<u32>>,
    pub rules: Option<Spanned<usize>>,
    #[serde(default)]
    pub delegate: Vec<Spanned<RawDelegate>>,
    #[serde(default)]
    pub rule: Vec<Spanned<RawRule>>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OnDoubtSchema {
    Refuse,
    #[default]
    Keep,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDelegate {
    pub to: String,
    #[serde(default)]
    pub tenants: BTreeSet<String>,
    #[serde(default)]
    pub classes: BTreeSet<String>,
    #[serde(default)]
    pub groups: Vec<groups::GroupText>,
    #[serde(default)]
    pub halls: BTreeSet<String>,
    #[serde(default)]
    pub hardware: BTreeSet<String>,
    pub connections: Option<u64>,
    #[serde(default)]
    pub frozen: bool,
    pub handed_to: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRule {
    pub name: String,
    pub must: Option<bool>,
    pub strength: Option<Strength>,
    #[serde(default)]
    pub priority: i32,
    #[serde(default)]
    pub tenants: BTreeSet<String>,
    #[serde(default)]
    pub classes: BTreeSet<String>,
    #[serde(default)]
    pub groups: Vec<groups::GroupText>,
    pub place: Option<RawPlace>,
    pub cap: Option<RawCap>,
    pub spread: Option<RawSpread>,
    pub pace: Option<RawPace>,
    pub attempts: Option<RawAttempts>,
    pub r#move: Option<MoveCondition>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum RawPlace {
    Require(RawNodes),
    Avoid(RawNodes),
    Prefer(RawNodes),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawNodes {
    #[serde(default)]
    pub halls: BTreeSet<String>,
    #[serde(default)]
    pub hardware: BTreeSet<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawCap {
    pub connections: u64,
    #[serde(default)]
    pub halls: BTreeSet<String>,
    #[serde(default)]
    pub hardware: BTreeSet<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSpread {
    pub nodes: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPace {
    pub per_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawAttempts {
    pub most: u32,
}
