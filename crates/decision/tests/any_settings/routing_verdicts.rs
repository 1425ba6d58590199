//! Routing rules that change every second. A verdict depends only on the seed, the request and the second, so
//! that the checker can evaluate the rules as well.

use crate::strategies::{MS, S};
use cottonnotch_decision::*;
use std::sync::Arc;

#[derive(Clone, Copy, Debug)]
pub struct RandomVerdicts {
    pub seed: u64,
    pub servers: u32,
}

impl RandomVerdicts {
    pub fn verdict(self, now: Micros, id: RequestId) -> RoutingVerdict {
        let second = (now / S) as u64;
        let mixed =
            self.seed ^ id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ second.wrapping_mul(0xd6e8_feb8_6659_fd93);
        let mut z = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        z ^= z >> 32;
        let set = |bits: u64| {
            let members = (0..self.servers).filter(|server| bits >> (server % 16) & 1 == 1).map(ServerId);
            Some(Arc::new(members.collect::<ServerSet>()))
        };
        let mut verdict = RoutingVerdict::default();
        match z % 8 {
            0 => verdict.allowed = set(z >> 8),
            1 => verdict.preferred = set(z >> 8),
            2 => verdict.attempts = (z >> 8) as u32 % 4,
            3 => verdict.not_before = Some((second as Micros) * S + (z >> 8) as Micros % (3 * S)),
            4 if z >> 8 & 3 == 0 => verdict.reject_with_retry_after = Some((z >> 16) as Micros % (500 * MS)),
            _ => {}
        }
        verdict
    }
}

impl RoutingRules for RandomVerdicts {
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict {
        self.verdict(now, request.id)
    }

    fn record_attempt(&mut self, _now: Micros, _request: &Request, _server: ServerId) {}

    fn stickiness(&mut self, _now: Micros, request: &Request, _server: ServerId) -> Option<Stickiness> {
        [None, Some(Stickiness::MigrateLast), Some(Stickiness::UntilDrained)][request.id.0 as usize % 3]
    }
}
