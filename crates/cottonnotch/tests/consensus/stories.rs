//! Hard days of several proxies that agree on rules.

mod changes;
mod cuts;
mod fleet;
mod houses;
mod processes;

use crate::judge::{Answer, Client};
use crate::rules::{RETRY_MS, UNRULED_RETRY_MS};
use crate::tier::Tier;

fn all_but(tier: &Tier, one: usize) -> Vec<usize> {
    tier.all().into_iter().filter(|proxy| *proxy != one).collect()
}

/// It was told one of the times that are told in doubt.
fn refused_in_doubt(client: &Client) -> bool {
    let told = |ms| client.answers.iter().any(|(_, answer)| *answer == Answer::Busy(Some(ms)));
    told(RETRY_MS) || told(UNRULED_RETRY_MS)
}
