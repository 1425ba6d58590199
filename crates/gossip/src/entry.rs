//! What a proxy reports of one endpoint.

use std::collections::BTreeMap;

/// A digest of a endpoint's name: 24 bits of BLAKE3. 16 bits would collide on 9 of 100 lists of 110 names; with 24 it is 1
/// list of 840 with 200 names, and a byte less than 32 in each entry. [`Directory`] keeps such pairs out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointDigest(u32);

impl EndpointDigest {
    /// The digest of this name.
    pub fn of(name: &str) -> Self {
        let [a, b, c, ..] = *blake3::hash(name.as_bytes()).as_bytes();
        EndpointDigest(u32::from_le_bytes([a, b, c, 0]))
    }

    /// By the digest's value; only its lowest 24 bits count.
    pub fn from_bits(bits: u32) -> Self {
        EndpointDigest(bits & 0xff_ffff)
    }

    /// The digest's value.
    pub fn bits(self) -> u32 {
        self.0
    }
}

/// The embedder's names by their digests. Two names of one digest are both left out: nothing is reported of them, and what
/// peers report is not used. Peers with the same list leave out the same two.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    names: BTreeMap<EndpointDigest, Option<String>>,
}

impl Directory {
    /// Of these names.
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

    /// The name with this digest; `None` if there is none, or two.
    pub fn name(&self, endpoint: EndpointDigest) -> Option<&str> {
        self.names.get(&endpoint)?.as_deref()
    }

    /// The digest of a name; `None` if it isn't here or shares its digest.
    pub fn digest(&self, name: &str) -> Option<EndpointDigest> {
        let digest = EndpointDigest::of(name);
        (self.name(digest) == Some(name)).then_some(digest)
    }
}

/// Work in microseconds a second, as 5 bits of exponent and 11 of mantissa: exact up to 4,095, then within 1/4096.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load(pub(crate) u16);

impl Load {
    const MANTISSA: u32 = 11;
    const ONE: u64 = 1 << Self::MANTISSA;

    /// The nearest that can be expressed; what is beyond 4.4e12 becomes that.
    pub fn from_micros_per_s(micros: u64) -> Self {
        if micros < Self::ONE {
            return Load(micros as u16);
        }
        let shift = 63 - Self::MANTISSA - micros.leading_zeros();
        let rounded = micros.saturating_add((1 << shift) >> 1) >> shift;
        // Rounded up to the next power of 2.
        let (mantissa, shift) =
            if rounded == 2 * Self::ONE { (Self::ONE, shift + 1) } else { (rounded, shift) };
        if shift > 30 {
            return Load(u16::MAX);
        }
        Load(((shift + 1) << Self::MANTISSA) as u16 | (mantissa - Self::ONE) as u16)
    }

    /// Microseconds of work a second.
    pub fn micros_per_s(self) -> u64 {
        let (exponent, mantissa) = (u32::from(self.0) >> Self::MANTISSA, u64::from(self.0) & (Self::ONE - 1));
        match exponent {
            0 => mantissa,
            _ => (mantissa + Self::ONE) << (exponent - 1),
        }
    }
}

/// What a proxy observed at an endpoint within the last few seconds (4 is a good span): evidence, not a verdict. Counts stay
/// at 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Attempts rejected as full.
    pub full: u8,
    /// Connections that could not be set up.
    pub failed: u8,
    /// Attempts that timed out.
    pub timed_out: u8,
    /// Connections that went silent.
    pub silent: u8,
    /// Attempts served; where there are faults, only those since the newest one.
    pub served: u8,
    /// Age in tenths of a second of the newest fault, or of the newest served attempt where there is none.
    pub age_tenths: u8,
}

impl Evidence {
    /// The number of faults.
    pub fn faults(&self) -> u32 {
        [self.full, self.failed, self.timed_out, self.silent].into_iter().map(u32::from).sum()
    }
}

/// What one proxy reports of one endpoint. Replaces what the same proxy reported of it before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Which one.
    pub endpoint: EndpointDigest,
    /// The proxy's own established connections there.
    pub connections: u32,
    /// Their load, summed.
    pub load: Load,
    /// A sketch of the groups that they belong to: bit (digest of the group modulo 32).
    pub groups: u32,
    /// Fresh evidence.
    pub evidence: Evidence,
}

impl Entry {
    /// Nothing to report of it: also how a peer learns that there is nothing any more.
    pub fn empty(endpoint: EndpointDigest) -> Self {
        Entry { endpoint, connections: 0, load: Load(0), groups: 0, evidence: Evidence::default() }
    }

    /// Whether it reports nothing.
    pub fn is_empty(&self) -> bool {
        *self == Entry::empty(self.endpoint)
    }

    /// How wrong a peer would be that received that one last. In units of 1% of a core; one connection counts as much, a
    /// fault as eight: it is worth most while it is fresh.
    pub(crate) fn difference(&self, sent: &Entry) -> u64 {
        let load = self.load.micros_per_s().abs_diff(sent.load.micros_per_s()) / 10_000;
        let faults = u64::from(self.evidence.faults().saturating_sub(sent.evidence.faults()));
        load + u64::from(self.connections.abs_diff(sent.connections)) + 8 * faults
    }
}

#[cfg(test)]
#[path = "entry_tests.rs"]
mod tests;
