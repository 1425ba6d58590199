//! Scenarios: what is rehearsed, written by hand in TOML, and the plan that a scenario and a seed give.
//!
//! A file says what differs from the operators' fleet; the rest has its figures ([`mod@format`]). It is read
//! and checked whole before anything is drawn. All chance comes from the seed, a stream for each concern
//! ([`chance`]), so that one seed gives one plan to the microsecond and a further fault leaves the arrivals
//! as they were. See `docs/design/scenarios.md`.

pub mod chance;
mod check;
pub mod curve;
mod draw;
mod error;
pub mod fault;
pub mod format;
mod holds;
pub mod range;

pub use error::BadScenario;

use crate::plan::Plan;
use error::Source;
use fault::Fault;
use format::Body;
use holds::Pool;
use range::Range;
use std::path::Path;

/// The operators' halls.
const HALLS: [&str; 5] = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];
/// The operators' rough days.
const USUAL_SHARE: Range = Range::new(0.35, 0.35);

/// A scenario that was checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// All but the faults.
    pub body: Body,
    /// The faults, in the file's order.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Reads a file.
    pub fn load(file: &Path) -> Result<Self, BadScenario> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| BadScenario::Unreadable { file: file.to_owned(), error })?;
        Self::read(file, &text)
    }

    /// Reads a text; `file` is its name in messages.
    pub fn read(file: &Path, text: &str) -> Result<Self, BadScenario> {
        let source = Source { file, text };
        let body: Body = toml::from_str(text).map_err(|error| source.unread(&error))?;
        let faults = fault::read_all(&source)?;
        let scenario = Scenario { body, faults };
        check::check(&scenario).map_err(|trouble| source.found(trouble))?;
        Ok(scenario)
    }

    /// The plan that this scenario and a seed give; always the same.
    pub fn draw(&self, seed: u64) -> Plan {
        draw::draw(self, seed)
    }
}

impl Body {
    /// Names of the zones.
    pub fn zones(&self) -> Vec<String> {
        let usual =
            || HALLS.iter().take(usize::from(self.proxies.count.max(1))).map(|hall| (*hall).to_owned());
        self.fleet.zones.clone().unwrap_or_else(|| usual().collect())
    }

    fn size(&self, pool: Pool) -> usize {
        usize::from(match pool {
            Pool::Nodes => self.fleet.nodes,
            Pool::Proxies => self.proxies.count,
        })
    }

    fn name_of(&self, pool: Pool, place: u16) -> String {
        match pool {
            Pool::Nodes => format!("render-{place}"),
            Pool::Proxies => format!("proxy-{place}"),
        }
    }
}

impl format::Load {
    /// The part of the fleet's capacity that is asked for, where that is how the load is given.
    fn share(&self) -> Range {
        self.share.unwrap_or(USUAL_SHARE)
    }
}
