//! A resolver result: the list of subchannels, or what changed of it, in discovery's JSON form.

use cottonnotch_decision::{Micros, ServerState};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// One entry of a result.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Where it can be reached; a withdrawn one may have none.
    pub address: Option<SocketAddr>,
    /// As discovery names it.
    pub zone: String,
    /// Its hardware class; empty if discovery doesn't tell.
    pub flavor: String,
    /// A small group of nodes that share which keys they have seen.
    pub cell: u32,
    /// Whether it takes what is new.
    pub state: ServerState,
    /// Its size beside others'.
    pub weight: f64,
    /// When its process last started, in Unix time of its own machine; `None`: long ago.
    pub up_since: Option<Micros>,
}

/// A list, or changes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Counts up.
    pub revision: u64,
    /// All members are named; those that are not are gone.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

/// What is wrong with a result. A result is taken whole or not at all: half a list would drop members.
#[derive(Debug, thiserror::Error)]
pub enum EndpointUpdateError {
    /// No JSON.
    #[error("it is not JSON: {0}")]
    NotJson(#[from] simd_json::Error),
    /// A field of the result.
    #[error("'{0}' is missing or of the wrong kind")]
    Field(&'static str),
    /// A member's field.
    #[error("member {0}: '{1}' is missing or of the wrong kind")]
    Member(usize, &'static str),
    /// A whole list that names one twice.
    #[error("member {0} is named twice, with different contents")]
    Contradicts(usize),
}

impl EndpointUpdate {
    /// Reads one JSON text; the buffer is used up.
    pub fn parse(text: &mut [u8]) -> Result<Self, EndpointUpdateError> {
        Self::from_json(&simd_json::to_owned_value(text)?)
    }

    /// Reads a value.
    pub fn from_json(json: &OwnedValue) -> Result<Self, EndpointUpdateError> {
        let revision = json.get_u64("revision").ok_or(EndpointUpdateError::Field("revision"))?;
        let complete = json.get_bool("complete").ok_or(EndpointUpdateError::Field("complete"))?;
        let members = json.get_array("members").ok_or(EndpointUpdateError::Field("members"))?;
        let members = members
            .iter()
            .enumerate()
            .map(|(i, m)| member(m).map_err(|field| EndpointUpdateError::Member(i, field)));
        let members: Vec<Member> = members.collect::<Result<_, _>>()?;
        // In a list of changes the later one is news; a whole list names each as it is.
        if complete {
            let mut first = HashMap::with_capacity(members.len());
            for (i, member) in members.iter().enumerate() {
                if *first.entry(&member.id).or_insert(member) != member {
                    return Err(EndpointUpdateError::Contradicts(i));
                }
            }
        }
        Ok(EndpointUpdate { revision, complete, members })
    }
}

fn member(json: &OwnedValue) -> Result<Member, &'static str> {
    let id = json.get_str("id").filter(|id| !id.is_empty()).ok_or("id")?;
    let state = match json.get_str("phase") {
        Some("up") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("removed") => ServerState::Removed,
        _ => return Err("phase"),
    };
    let address = json.get_str("host_port").map(str::parse).transpose().map_err(|_| "host_port")?;
    if address.is_none() && state != ServerState::Removed {
        return Err("host_port");
    }
    let zone = json.get_str("locality").unwrap_or("").to_owned();
    let flavor = json.get_str("flavor").unwrap_or("").to_owned();
    let cell = json.get("cell").map_or(Some(0), |c| c.as_u32()).ok_or("cell")?;
    let weight = json.get("size").map_or(Some(1.0), |s| s.cast_f64()).ok_or("size")?;
    let up_since = json.get("up_since_ms").map_or(Some(0), |u| u.as_u64()).ok_or("up_since_ms")?;
    let up_since = (up_since != 0).then(|| Micros::try_from(up_since).ok()?.checked_mul(1000)).flatten();
    Ok(Member { id: id.to_owned(), address, zone, flavor, cell, state, weight, up_since })
}
