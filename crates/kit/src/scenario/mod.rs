//! Scenarios: TOML files that describe a rehearsal. A scenario and a seed determine the plan of a run.
//!
//! A file contains what differs from the operators' fleet; other values have the defaults of [`mod@format`]. The
//! whole file is parsed and validated before anything is drawn. All random numbers are derived from the seed, with a
//! stream for each purpose ([`random_streams`]), so that a seed gives the same plan to the microsecond, and an
//! additional fault does not change the arrivals. See `docs/design/scenarios.md`.

mod check;
mod claims;
pub mod curve;
mod draw;
mod error;
pub mod fault;
pub mod format;
pub mod random_streams;
pub mod range;

pub use error::ScenarioError;

use crate::plan::Plan;
use claims::TargetKind;
use error::Source;
use fault::Fault;
use format::Body;
use range::Range;
use std::path::Path;

/// Default zones: the halls of the operators.
const DEFAULT_ZONES: [&str; 5] = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];
/// Default load share: that of the operators' rough days.
const DEFAULT_LOAD_SHARE: Range = Range::new(0.35, 0.35);

/// A validated scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// All sections except the faults.
    pub body: Body,
    /// The faults, in the order of the file.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Reads and validates a scenario file.
    pub fn load(file: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| ScenarioError::Unreadable { file: file.to_owned(), error })?;
        Self::read(file, &text)
    }

    /// Parses and validates the text of a scenario; `file` is the path for error messages.
    pub fn read(file: &Path, text: &str) -> Result<Self, ScenarioError> {
        let source = Source { file, text };
        let body: Body = toml::from_str(text).map_err(|error| source.parse_error(&error))?;
        let faults = fault::parse_all(&source)?;
        let scenario = Scenario { body, faults };
        check::check(&scenario).map_err(|problem| source.error_at(problem))?;
        Ok(scenario)
    }

    /// Draws the plan for a seed. The same scenario and seed always give the same plan.
    pub fn draw(&self, seed: u64) -> Plan {
        draw::draw_plan(self, seed)
    }
}

impl Body {
    /// Names of the zones. Defaults to the operators' halls, but at most one for each proxy.
    pub fn zones(&self) -> Vec<String> {
        let default = || {
            DEFAULT_ZONES.iter().take(usize::from(self.proxies.count.max(1))).map(|zone| (*zone).to_owned())
        };
        self.fleet.zones.clone().unwrap_or_else(|| default().collect())
    }

    fn target_count(&self, kind: TargetKind) -> usize {
        usize::from(match kind {
            TargetKind::Nodes => self.fleet.nodes,
            TargetKind::Proxies => self.proxies.count,
        })
    }

    fn target_name(&self, kind: TargetKind, index: u16) -> String {
        match kind {
            TargetKind::Nodes => format!("render-{index}"),
            TargetKind::Proxies => format!("proxy-{index}"),
        }
    }
}

impl format::Load {
    /// The load as a share of the fleet's capacity, used if neither `arrivals_per_s` nor `standing` is set.
    fn share(&self) -> Range {
        self.share.unwrap_or(DEFAULT_LOAD_SHARE)
    }
}
