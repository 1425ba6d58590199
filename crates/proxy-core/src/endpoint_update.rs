//! Parses endpoint updates from discovery, without I/O. An update is a JSON text with either the complete list of endpoints or
//! the changes to the previous list.
//!
//! An update is applied completely or not at all, since a partial list would remove endpoints.

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
    /// The endpoint's address. Only a removed endpoint may have none.
    pub address: Option<SocketAddr>,
    /// The zone, from discovery's `locality`; empty if discovery sends none.
    pub zone: String,
    /// The hardware class; empty if discovery sends none.
    pub flavor: String,
    /// The cell: a small group of render nodes that share the idempotency keys they have seen.
    pub cell: u32,
    /// The endpoint's state, which says whether it accepts new connections.
    pub state: ServerState,
    /// The capacity relative to other endpoints, from discovery's `size`.
    pub weight: f64,
    /// When the endpoint's process last started, in Unix microseconds by its own machine's clock. `None` if discovery sends no valid
    /// time; the process then counts as started long ago.
    pub up_since: Option<Micros>,
}

/// A complete list of endpoints, or changes to the previous list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Discovery's revision, which increases with each update.
    pub revision: u64,
    /// Whether the list is complete, so that an endpoint missing from it has been removed.
    pub complete: bool,
    /// The endpoints, in the order in which discovery sent them.
    pub endpoints: Vec<EndpointEntry>,
}

/// The reason why an update is rejected.
#[derive(Debug, thiserror::Error)]
pub enum EndpointUpdateError {
    /// The text is not JSON.
    #[error("it is not JSON: {0}")]
    NotJson(#[from] simd_json::Error),
    /// A field of the update itself is missing or has the wrong type.
    #[error("'{0}' is missing or of the wrong kind")]
    Field(&'static str),
    /// A field of the endpoint at this position is missing or has the wrong type.
    #[error("member {0}: '{1}' is missing or of the wrong kind")]
    Endpoint(usize, &'static str),
    /// A complete list has an earlier, different entry for the endpoint at this position.
    #[error("member {0} is named twice, with different contents")]
    Contradicts(usize),
}

/// The name of an entry's field that is missing or has the wrong type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InvalidField(&'static str);

impl EndpointUpdate {
    /// Parses one JSON text. The parser overwrites the buffer.
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
        // In a list of changes, a later entry replaces an earlier one; a complete list has one entry per endpoint.
        if complete {
            check_unambiguous(&endpoints)?;
        }
        Ok(EndpointUpdate { revision, complete, endpoints })
    }
}

/// Rejects a list with two different entries for the same endpoint.
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

/// Converts Unix milliseconds to microseconds. `None` for 0, which means that the time is unknown, and on overflow.
fn unix_micros(unix_ms: u64) -> Option<Micros> {
    if unix_ms == 0 { None } else { Micros::try_from(unix_ms).ok()?.checked_mul(1000) }
}
