//! An endpoint update: discovery's list of endpoints as it was sent, whole or as changes to the previous one, in JSON.
//!
//! An update is applied whole or not at all: half a list would drop endpoints. No I/O.

use cottonnotch_decision::{Micros, ServerState};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// One endpoint of an update.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's name.
    pub id: String,
    /// Where it can be reached; a removed one may have no address.
    pub address: Option<SocketAddr>,
    /// The zone, as discovery names it.
    pub zone: String,
    /// The hardware class; empty if discovery sends none.
    pub flavor: String,
    /// The cell: a small group of nodes that share which idempotency keys they have seen.
    pub cell: u32,
    /// Whether it accepts new connections.
    pub state: ServerState,
    /// The capacity relative to other endpoints.
    pub weight: f64,
    /// When its process last started, in Unix microseconds of its own machine; `None`: long ago.
    pub up_since: Option<Micros>,
}

/// A list of endpoints, or changes to the previous one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Discovery's revision; rises from update to update.
    pub revision: u64,
    /// The list names every endpoint: one that is missing has been removed.
    pub complete: bool,
    /// The endpoints in the order sent.
    pub endpoints: Vec<EndpointEntry>,
}

/// Why an update is rejected.
#[derive(Debug, thiserror::Error)]
pub enum EndpointUpdateError {
    /// The text is not JSON.
    #[error("it is not JSON: {0}")]
    NotJson(#[from] simd_json::Error),
    /// A field of the update itself.
    #[error("'{0}' is missing or of the wrong kind")]
    Field(&'static str),
    /// A field of the endpoint at this position.
    #[error("member {0}: '{1}' is missing or of the wrong kind")]
    Endpoint(usize, &'static str),
    /// A complete list names the endpoint at this position twice.
    #[error("member {0} is named twice, with different contents")]
    Contradicts(usize),
}

/// The field of an entry that is missing or of the wrong kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InvalidField(&'static str);

impl EndpointUpdate {
    /// Parses one JSON text. The buffer's contents are overwritten.
    pub fn parse(text: &mut [u8]) -> Result<Self, EndpointUpdateError> {
        Self::from_json(&simd_json::to_owned_value(text)?)
    }

    /// Reads an update from a JSON value.
    pub fn from_json(json: &OwnedValue) -> Result<Self, EndpointUpdateError> {
        let revision = json.get_u64("revision").ok_or(EndpointUpdateError::Field("revision"))?;
        let complete = json.get_bool("complete").ok_or(EndpointUpdateError::Field("complete"))?;
        let members = json.get_array("members").ok_or(EndpointUpdateError::Field("members"))?;
        let parse = |(position, json): (usize, &OwnedValue)| {
            parse_entry(json).map_err(|InvalidField(field)| EndpointUpdateError::Endpoint(position, field))
        };
        let endpoints: Vec<EndpointEntry> =
            members.iter().enumerate().map(parse).collect::<Result<_, _>>()?;
        // In a list of changes a later entry supersedes an earlier one; a complete list has one entry an endpoint.
        if complete {
            check_unambiguous(&endpoints)?;
        }
        Ok(EndpointUpdate { revision, complete, endpoints })
    }
}

/// Rejects a list that has two different entries for one endpoint.
fn check_unambiguous(endpoints: &[EndpointEntry]) -> Result<(), EndpointUpdateError> {
    let mut first = HashMap::with_capacity(endpoints.len());
    for (position, endpoint) in endpoints.iter().enumerate() {
        if *first.entry(&endpoint.id).or_insert(endpoint) != endpoint {
            return Err(EndpointUpdateError::Contradicts(position));
        }
    }
    Ok(())
}

fn parse_entry(json: &OwnedValue) -> Result<EndpointEntry, InvalidField> {
    let id = json.get_str("id").filter(|id| !id.is_empty()).ok_or(InvalidField("id"))?;
    let state = parse_phase(json)?;
    let address =
        json.get_str("host_port").map(str::parse).transpose().map_err(|_| InvalidField("host_port"))?;
    if address.is_none() && state != ServerState::Removed {
        return Err(InvalidField("host_port"));
    }
    let zone = json.get_str("locality").unwrap_or("").to_owned();
    let flavor = json.get_str("flavor").unwrap_or("").to_owned();
    let cell = json.get("cell").map_or(Some(0), |cell| cell.as_u32()).ok_or(InvalidField("cell"))?;
    let weight = json.get("size").map_or(Some(1.0), |size| size.cast_f64()).ok_or(InvalidField("size"))?;
    let up_since_ms = json.get("up_since_ms").map_or(Some(0), |since| since.as_u64());
    let up_since = unix_micros(up_since_ms.ok_or(InvalidField("up_since_ms"))?);
    Ok(EndpointEntry { id: id.to_owned(), address, zone, flavor, cell, state, weight, up_since })
}

fn parse_phase(json: &OwnedValue) -> Result<ServerState, InvalidField> {
    match json.get_str("phase") {
        Some("up") => Ok(ServerState::Ready),
        Some("draining") => Ok(ServerState::Draining),
        Some("removed") => Ok(ServerState::Removed),
        _ => Err(InvalidField("phase")),
    }
}

/// Unix milliseconds in microseconds; `None` for 0 and for what does not fit.
fn unix_micros(unix_ms: u64) -> Option<Micros> {
    if unix_ms == 0 { None } else { Micros::try_from(unix_ms).ok()?.checked_mul(1000) }
}
