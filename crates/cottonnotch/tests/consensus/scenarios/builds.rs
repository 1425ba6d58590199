//! Voters of two builds, as in a rolling upgrade: an earlier build, whose binary the environment names, and this one.

use crate::cluster::TestCluster;
use crate::proxy::earlier_build;
use crate::rules::keeps_to;

/// Each voter is replaced in turn by this build, with its state folder kept; then one goes back to the earlier build. After each
/// step a change of rules, proposed by one of each build in turn, is in force at all, and nothing contradicts.
#[test]
fn voters_of_two_builds_agree_through_an_upgrade_and_a_rollback() {
    let Some(earlier) = earlier_build() else { return };
    let mut cluster = TestCluster::agreed_with(3, &[0, 1, 2], 41, |cluster| {
        cluster.proxies.iter_mut().for_each(|proxy| proxy.run(&earlier));
    });
    let (mut number, _) = cluster.converges(&cluster.all(), 0);
    let this_build = std::path::PathBuf::from(env!("CARGO_BIN_EXE_cottonnotch"));
    let steps = [(0, &this_build), (1, &this_build), (2, &this_build), (1, &earlier)];
    for ((voter, build), revision) in steps.into_iter().zip(2..) {
        cluster.kill(voter);
        cluster.proxies[voter].run(build);
        cluster.proxies[voter].start();
        // In turn by the one that was replaced and by another.
        let proposer = if revision % 2 == 0 { voter } else { (voter + 1) % 3 };
        let hall = if revision % 2 == 0 { "b" } else { "a" };
        cluster.change(proposer, "dagger", &keeps_to("dagger", revision, hall));
        cluster.settles(&cluster.all(), "dagger", hall);
        (number, _) = cluster.converges(&cluster.all(), number);
    }
    cluster.finish();
    cluster.judged_by_versions("dagger");
}
