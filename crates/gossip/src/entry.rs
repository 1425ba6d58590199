//! The entry that a proxy reports for one endpoint, and the types of its fields.

use std::collections::BTreeMap;

/// A digest of an endpoint's name: 24 bits of BLAKE3. With 16 bits, 9 of 100 lists of 110 names would have a collision; with
/// 24 bits, 1 of 840 lists of 200 names has one. 24 bits take one byte less than 32 in each entry. [`Directory`] leaves out
/// names whose digests collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointDigest(u32);

impl EndpointDigest {
    /// Computes the digest of a name.
    pub fn of(name: &str) -> Self {
        let [a, b, c, ..] = *blake3::hash(name.as_bytes()).as_bytes();
        EndpointDigest(u32::from_le_bytes([a, b, c, 0]))
    }

    /// Creates a digest from its value, of which only the lowest 24 bits are used.
    pub fn from_bits(bits: u32) -> Self {
        EndpointDigest(bits & 0xff_ffff)
    }

    /// Returns the digest's value.
    pub fn bits(self) -> u32 {
        self.0
    }
}

/// Maps digests to the embedder's endpoint names. If two names have the same digest, both are left out: neither is reported
/// to peers, and peers' reports on them are not used. Peers with the same list of names leave out the same two.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    names: BTreeMap<EndpointDigest, Option<String>>,
}

impl Directory {
    /// Creates the directory of these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut by_digest: BTreeMap<EndpointDigest, Option<String>> = BTreeMap::new();
        for name in names {
            by_digest
                .entry(EndpointDigest::of(name))
                .and_modify(|known| {
                    if known.as_deref() != Some(name) {
                        *known = None;
                    }
                })
                .or_insert_with(|| Some(name.to_owned()));
        }
        Directory { names: by_digest }
    }

    /// Returns the name with this digest, or `None` if no name or more than one has it.
    pub fn name(&self, endpoint: EndpointDigest) -> Option<&str> {
        self.names.get(&endpoint)?.as_deref()
    }

    /// Returns the digest of a name, or `None` if the name is unknown or shares its digest with another.
    pub fn digest(&self, name: &str) -> Option<EndpointDigest> {
        let digest = EndpointDigest::of(name);
        (self.name(digest) == Some(name)).then_some(digest)
    }
}

/// Load as microseconds of work per second, stored as a floating-point number with 5 bits of exponent and 11 bits of
/// mantissa: exact up to 4,095, and within 1/4096 above.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load(pub(crate) u16);

impl Load {
    const MANTISSA: u32 = 11;
    const ONE: u64 = 1 << Self::MANTISSA;

    /// Rounds to the nearest value that can be represented. Values above 4.4e12 become the maximum.
    pub fn from_micros_per_s(micros: u64) -> Self {
        if micros < Self::ONE {
            return Load(micros as u16);
        }
        let shift = 63 - Self::MANTISSA - micros.leading_zeros();
        let rounded = micros.saturating_add((1 << shift) >> 1) >> shift;
        // Rounding may carry into the next power of 2.
        let (mantissa, shift) =
            if rounded == 2 * Self::ONE { (Self::ONE, shift + 1) } else { (rounded, shift) };
        if shift > 30 {
            return Load(u16::MAX);
        }
        Load(((shift + 1) << Self::MANTISSA) as u16 | (mantissa - Self::ONE) as u16)
    }

    /// Returns the load in microseconds of work per second.
    pub fn micros_per_s(self) -> u64 {
        let (exponent, mantissa) = (u32::from(self.0) >> Self::MANTISSA, u64::from(self.0) & (Self::ONE - 1));
        match exponent {
            0 => mantissa,
            _ => (mantissa + Self::ONE) << (exponent - 1),
        }
    }
}

/// The outcomes that a proxy observed at an endpoint within the last few seconds (about 4). They are evidence for the
/// receiver's own verdict, not a verdict. Counts saturate at 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Attempts that the endpoint rejected as full.
    pub full: u8,
    /// Connections that could not be set up.
    pub failed: u8,
    /// Attempts that timed out.
    pub timed_out: u8,
    /// Connections that went silent.
    pub silent: u8,
    /// Attempts served. If there are faults, only the attempts since the newest fault count.
    pub served: u8,
    /// Age of the newest fault in tenths of a second; without faults, the age of the newest served attempt.
    pub age_tenths: u8,
}

impl Evidence {
    /// Returns the total number of faults.
    pub fn faults(&self) -> u32 {
        [self.full, self.failed, self.timed_out, self.silent].into_iter().map(u32::from).sum()
    }
}

/// The report of one proxy on one endpoint. It replaces the same proxy's earlier report on that endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The endpoint, by the digest of its name.
    pub endpoint: EndpointDigest,
    /// Number of the proxy's established connections to the endpoint.
    pub connections: u32,
    /// Total load of these connections.
    pub load: Load,
    /// A sketch of the groups that the connections belong to: each group sets the bit (digest of the group modulo 32).
    pub groups: u32,
    /// Outcomes observed in the last few seconds.
    pub evidence: Evidence,
}

impl Entry {
    /// Creates an entry without content. It also tells a peer that an earlier entry no longer holds.
    pub fn empty(endpoint: EndpointDigest) -> Self {
        Entry { endpoint, connections: 0, load: Load(0), groups: 0, evidence: Evidence::default() }
    }

    /// Returns whether the entry has no content.
    pub fn is_empty(&self) -> bool {
        *self == Entry::empty(self.endpoint)
    }

    /// Returns the error of a peer whose last received entry is `sent`, in units of 1% of a core. A connection counts as one
    /// unit and a fault as eight, since a fault matters most while it is fresh.
    pub(crate) fn difference(&self, sent: &Entry) -> u64 {
        let load = self.load.micros_per_s().abs_diff(sent.load.micros_per_s()) / 10_000;
        let faults = u64::from(self.evidence.faults().saturating_sub(sent.evidence.faults()));
        load + u64::from(self.connections.abs_diff(sent.connections)) + 8 * faults
    }
}

#[cfg(test)]
#[path = "entry_tests.rs"]
mod tests;
