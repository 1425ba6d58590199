//! The compiled plan, its canonical encoding and its hash.

use std::fmt;

use crate::canonical::{check, needs};
use crate::index::Index;
use crate::plan_body::{
    Body, CompiledRule, FORMAT, LEVEL, MAX_BYTES, MAX_HARDWARE, MAX_RULES, PlanError, encode,
};

/// The rules of a book as they run on the hardware classes. A plan is immutable and identified by its hash.
pub struct Plan {
    pub(crate) body: Body,
    pub(crate) index: Index,
    hash: [u8; 32],
}

impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hash = blake3::Hash::from_bytes(self.hash);
        f.debug_struct("Plan").field("hash", &hash.to_hex()).field("rules", &self.body.rules.len()).finish()
    }
}

impl PartialEq for Plan {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

impl Eq for Plan {}

impl Plan {
    /// Builds a plan from compiled rules, which needn't be sorted.
    pub(crate) fn new(hardware: Vec<String>, mut rules: Vec<CompiledRule>) -> Result<Self, PlanError> {
        rules.sort();
        let body = Body { format: FORMAT, needs: needs(&rules), hardware, rules };
        let bytes = encode(&body);
        Self::build(body, &bytes)
    }

    fn build(body: Body, bytes: &[u8]) -> Result<Self, PlanError> {
        if bytes.len() > MAX_BYTES {
            return Err(PlanError::TooLarge("bytes"));
        }
        if body.rules.len() > MAX_RULES {
            return Err(PlanError::TooLarge("rules"));
        }
        if body.hardware.len() > MAX_HARDWARE {
            return Err(PlanError::TooLarge("hardware classes"));
        }
        check(&body)?;
        let index = Index::new(&body)?;
        Ok(Self { body, index, hash: *blake3::hash(bytes).as_bytes() })
    }

    /// The BLAKE3 hash of the plan's encoding.
    pub fn hash(&self) -> [u8; 32] {
        self.hash
    }

    /// The plan's canonical encoding.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(&self.body)
    }

    /// Decodes a plan. Returns an error unless the bytes are the canonical encoding of a plan that this build can run.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, PlanError> {
        if bytes.len() > MAX_BYTES {
            return Err(PlanError::TooLarge("bytes"));
        }
        // Other formats may have another layout after these two fields, so they are checked before the rest is decoded.
        let ((format, needs), _) =
            postcard::take_from_bytes::<(u16, u16)>(bytes).map_err(|_| PlanError::Decode)?;
        if format != FORMAT {
            return Err(PlanError::Format(format));
        }
        if needs > LEVEL {
            return Err(PlanError::Needs(needs));
        }
        let body: Body = postcard::from_bytes(bytes).map_err(|_| PlanError::Decode)?;
        if encode(&body) != bytes {
            return Err(PlanError::Canonical("encoding"));
        }
        Self::build(body, bytes)
    }

    /// The lowest [`LEVEL`] that a build must support to run the plan.
    pub fn needs(&self) -> u16 {
        self.body.needs
    }

    /// The number of rules.
    pub fn rules(&self) -> usize {
        self.body.rules.len()
    }

    /// The approximate size of the index in memory, in bytes. The rules themselves aren't included.
    pub fn index_bytes(&self) -> usize {
        self.index.bytes()
    }
}
