//! Identifies one process of a proxy.

use crate::plan::ProxyId;

/// One process of a proxy; each start has a new serial number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IncarnationId {
    pub proxy: ProxyId,
    pub serial: u32,
}
