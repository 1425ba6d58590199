//! Faults of several proxies that agree on rules.

mod builds;
mod changes;
mod cuts;
mod fleet;
mod owners;
mod processes;

use crate::cluster::TestCluster;
use crate::judge::{Answer, Client};
use crate::rules::{RETRY_MS, UNRULED_RETRY_MS};

fn all_but(cluster: &TestCluster, one: usize) -> Vec<usize> {
    cluster.all().into_iter().filter(|proxy| *proxy != one).collect()
}

/// Whether the client got one of the Retry-Afters that stand for uncertainty.
fn rejected_while_uncertain(client: &Client) -> bool {
    let was_told_to_wait = |ms| client.answers.iter().any(|(_, answer)| *answer == Answer::Busy(Some(ms)));
    was_told_to_wait(RETRY_MS) || was_told_to_wait(UNRULED_RETRY_MS)
}
