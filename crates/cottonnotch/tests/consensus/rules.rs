//! The files that operators write in these scenarios, and clusters that have agreed on a first version.

use crate::cluster::{NODES, TestCluster, up};
use crate::judge::{self, Placed, RecordedAttempt, Version};
use crate::link::Mesh;
use crate::{MAX_WAIT, wait_for};
use simd_json::OwnedValue;
use simd_json::prelude::{ValueObjectAccess, ValueObjectAccessAsScalar};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// The longest time of contradiction that these clusters promise ...
pub const CONTRADICTION: Duration = Duration::from_millis(1500);
/// ... which must hold the lease and the time to act.
pub const LEASE: Duration = Duration::from_millis(900);
pub const ACT: Duration = Duration::from_millis(300);
/// The contradiction that these scenarios tolerate. By design leases of two versions never overlap, and what is left is the time from a
/// verdict to the write; and as much again for a test's threads, which record arrivals late on a busy machine.
pub const PASSES: Duration = ACT.saturating_mul(2);
/// The Retry-After of an owner's clients while the version is uncertain.
pub const RETRY_MS: u64 = 310;
/// The Retry-After of clients that no requirement selects.
pub const UNRULED_RETRY_MS: u64 = 520;

/// The operator's file of one member of a cluster with these voters.
pub fn operator(voters: &[usize]) -> impl Fn(&Path, &Mesh, usize) -> String {
    let voters = voters.to_vec();
    move |folder, mesh, me| {
        std::fs::create_dir_all(folder).unwrap();
        let key = folder.join("accord.key");
        std::fs::write(&key, "0c".repeat(32)).unwrap();
        let members: Vec<String> = mesh.known_to(me).iter().map(|at| format!("\"{at}\"")).collect();
        let (rules, state) = (folder.join("rules"), folder.join("state"));
        let [contradiction, lease, act] = [CONTRADICTION, LEASE, ACT].map(|time| time.as_millis());
        let mut text = String::new();
        writeln!(text, "[rules]\nfolder = \"{}\"", rules.display()).unwrap();
        for class in ["m1", "m2"] {
            writeln!(text, "[[hardware]]\nname = \"{class}\"\nfeatures.tells-loads = true").unwrap();
            writeln!(text, "features.keeps-groups = true").unwrap();
        }
        writeln!(text, "[accord]\nlisten = \"{}\"\ncluster = \"story\"\nme = {me}", mesh.own[me]).unwrap();
        writeln!(text, "key_file = \"{}\"\nvoters = {voters:?}", key.display()).unwrap();
        writeln!(text, "members = [{}]", members.join(", ")).unwrap();
        writeln!(text, "state_folder = \"{}\"\nfirst_start = true", state.display()).unwrap();
        writeln!(text, "contradiction_ms = {contradiction}\nlease_ms = {lease}\nact_ms = {act}").unwrap();
        writeln!(text, "heartbeat_ms = 100\nelection_least_ms = 350\nelection_most_ms = 700").unwrap();
        writeln!(text, "prepare_ms = 1500\nretry_ms = {UNRULED_RETRY_MS}").unwrap();
        text
    }
}

/// The consortium's file: each owner has its tenant.
pub fn consortium() -> String {
    let mut text = "namespace = \"consortium\"\nrevision = 1\n".to_owned();
    for owner in ["dagger", "cotton"] {
        writeln!(text, "[[delegate]]\nto = \"consortium/{owner}\"\ntenants = [\"{owner}\"]").unwrap();
    }
    text
}

/// An owner's file: its tenant keeps to a hall, and is rejected while that is uncertain.
pub fn keeps_to(owner: &str, revision: u64, hall: &str) -> String {
    format!(
        "namespace = \"consortium/{owner}\"\nrevision = {revision}\non_doubt = \"refuse\"\nretry_ms = {RETRY_MS}\n\
         [[rule]]\nname = \"hall\"\nmust = true\ntenants = [\"{owner}\"]\nplace.require = {{ halls = [\"{hall}\"] }}\n"
    )
}

/// An owner's file: its tenant avoids a hall, also while that is uncertain.
pub fn avoids(owner: &str, revision: u64, hall: &str) -> String {
    format!(
        "namespace = \"consortium/{owner}\"\nrevision = {revision}\non_doubt = \"keep\"\n\
         [[rule]]\nname = \"not-there\"\nmust = true\ntenants = [\"{owner}\"]\nplace.avoid = {{ halls = [\"{hall}\"] }}\n"
    )
}

/// The same, with one rule more.
pub fn keeps_to_and(owner: &str, revision: u64, hall: &str, more: &str) -> String {
    let text = keeps_to(owner, revision, hall);
    format!("{text}[[rule]]\nname = \"more\"\nmust = true\ntenants = [\"{owner}\"]\n{more}\n")
}

/// The outcomes of attempts whose first line was not sent.
const UNSENT_OUTCOMES: [&str; 2] = ["not_sent", "connect_failed"];

/// The attempts for this tenant's requests in the records of one proxy.
fn recorded_attempts(records: &[OwnedValue], tenant: &str) -> Vec<RecordedAttempt> {
    let mut attempts: Vec<RecordedAttempt> = Vec::new();
    // The clients by request, and each request's attempt in `attempts` by its number.
    let (mut clients, mut positions) = (HashMap::new(), HashMap::new());
    for record in records {
        let event = record.get_str("event");
        let Some(request) = record.get_u64("request") else {
            // Request numbers start anew with each process.
            if event == Some("start") {
                clients.clear();
                positions.clear();
            }
            continue;
        };
        let attempt = (request, record.get_u64("attempt"));
        match event {
            Some("request") if record.get_str("tenant") == Some(tenant) => {
                let id = u64::from_str_radix(record.get_str("wire_id").unwrap(), 16).unwrap();
                clients.insert(request, id);
            }
            Some("attempt") if clients.contains_key(&request) => {
                positions.insert(attempt, attempts.len());
                attempts.push(recorded_attempt(record, clients[&request]));
            }
            Some("attempt_ended") if positions.contains_key(&attempt) => {
                let outcome = record.get_str("outcome").unwrap();
                attempts[positions[&attempt]].may_be_sent = !UNSENT_OUTCOMES.contains(&outcome);
            }
            _ => {}
        }
    }
    attempts
}

/// An attempt of this client by the record of its beginning.
fn recorded_attempt(record: &OwnedValue, id: u64) -> RecordedAttempt {
    let ruled = record.get("ruled").expect("it says by which rules");
    assert_eq!(ruled.get_bool("in_doubt"), Some(false), "{record:?}");
    RecordedAttempt {
        at: Duration::from_micros(record.get_u64("wall_us").unwrap()),
        id,
        node: record.get_str("subchannel").unwrap().to_owned(),
        version: ruled.get_u64("version").unwrap(),
        may_be_sent: true,
    }
}

/// The longest time between attempts by incompatible versions. An attempt in which a proxy was suspended and that it withdrew
/// afterwards acted on no version.
fn apart(attempts: Vec<RecordedAttempt>, tenant: &str) -> Duration {
    let sent = attempts.into_iter().filter(|attempt| attempt.may_be_sent);
    let placed = sent.map(|RecordedAttempt { at, id, node, version, .. }| {
        let (_, hall, hardware) = NODES.iter().find(|(id, ..)| *id == node).unwrap();
        let (hall, hardware, tenant) = (hall.to_string(), hardware.to_string(), tenant.to_owned());
        (version, Placed { at, id, tenant, group: None, node, hall, hardware })
    });
    let found = judge::overlap(&placed.collect::<Vec<_>>());
    found.map_or(Duration::ZERO, |found| found.time)
}

pub fn in_hall(hall: &'static str) -> impl Fn(&Placed) -> bool {
    move |placed| placed.hall == hall
}

impl TestCluster {
    /// A cluster that serves by a first version: the owner of dagger keeps to hall a, that of cotton avoids hall c. Clients of
    /// both come to each proxy.
    pub fn agreed(size: usize, voters: &[usize], seed: u64) -> Self {
        Self::agreed_with(size, voters, seed, |_| ())
    }

    /// The same, with something done before the proxies start.
    pub fn agreed_with(
        size: usize,
        voters: &[usize],
        seed: u64,
        first: impl FnOnce(&mut TestCluster),
    ) -> Self {
        let mut cluster = TestCluster::new(size, seed, operator(voters));
        first(&mut cluster);
        for proxy in &cluster.proxies {
            proxy.write_rules("consortium.toml", &consortium());
            proxy.write_rules("dagger.toml", &keeps_to("dagger", 1, "a"));
            proxy.write_rules("cotton.toml", &avoids("cotton", 1, "c"));
        }
        cluster.start();
        cluster.start_clients_everywhere("dagger");
        cluster.start_clients_everywhere("cotton");
        cluster.settles(&cluster.all(), "dagger", "a");
        // Nobody was served before it was known by which rules.
        let ruled = |placed: &&Placed| placed.hall != "a" && placed.tenant == "dagger";
        assert_eq!(cluster.fleet.history().iter().find(ruled), None);
        cluster
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.proxies.len()).collect()
    }

    /// The proxy that leads, once one of these reports so.
    pub fn leader(&self, among: &[usize]) -> usize {
        wait_for(MAX_WAIT, "a leader", || {
            among.iter().copied().find(|proxy| self.proxies[*proxy].figure("rules.leads") == Some(1))
        })
    }

    /// Writes an owner's new file at one proxy, and has it reload.
    pub fn change(&self, proxy: usize, owner: &str, text: &str) {
        self.proxies[proxy].write_rules(&format!("{owner}.toml"), text);
        self.proxies[proxy].reload();
    }

    /// Waits until this tenant's clients are served in this hall, and nowhere else, by each of these proxies: several clients that
    /// started since the last one was served elsewhere.
    pub fn settles(&self, proxies: &[usize], tenant: &str, hall: &str) {
        let what = format!("{tenant} in {hall} at {proxies:?}");
        wait_for(MAX_WAIT, &what, || {
            let halls: BTreeMap<u64, String> =
                self.fleet.history().into_iter().map(|placed| (placed.id, placed.hall)).collect();
            let clients = self.clients.so_far();
            let settled = |proxy: &usize| {
                let mut served: Vec<_> =
                    clients.iter().filter(|c| c.proxy == *proxy && c.tenant == tenant && up(c)).collect();
                served.sort_by_key(|client| client.sent);
                let last = served.iter().rev().take(6);
                served.len() >= 6 && last.filter_map(|c| halls.get(&c.id)).all(|there| there == hall)
            };
            std::thread::sleep(Duration::from_millis(20));
            proxies.iter().all(settled).then_some(())
        });
    }

    /// Waits until this tenant's clients that connect to the proxy from now on are rejected with this Retry-After.
    pub fn refuses(&self, proxy: usize, tenant: &str, retry_ms: u64) {
        let busy = |client: &judge::Client| {
            client.tenant == tenant
                && client.answers.first().is_some_and(|(_, a)| *a == judge::Answer::Busy(Some(retry_ms)))
        };
        let what = format!("{tenant} refused at {proxy}");
        self.answered(&what, proxy, self.now(), 6, busy);
    }

    /// Waits until this tenant's clients that connect to the proxy from now on are served.
    pub fn serves(&self, proxy: usize, tenant: &str) {
        let served = |client: &judge::Client| client.tenant == tenant && up(client);
        self.answered(&format!("{tenant} served at {proxy}"), proxy, self.now(), 6, served);
    }

    /// The versions that each proxy put in force, in order, by its log; the last one with its content.
    pub fn versions(&self) -> Vec<Vec<Version>> {
        self.proxies.iter().map(|proxy| proxy.versions()).collect()
    }

    /// Waits until all of these act on one version, above this number; that version.
    pub fn converges(&self, proxies: &[usize], above: u64) -> Version {
        wait_for(MAX_WAIT, &format!("one version at {proxies:?} above {above}"), || {
            let last_active: Vec<Vec<Version>> = proxies
                .iter()
                .map(|proxy| self.proxies[*proxy].last_active().into_iter().collect())
                .collect();
            judge::same_end(&last_active).ok().filter(|(number, _)| *number > above)
        })
    }

    /// Checks that no two placements of dagger by incompatible rules were further apart than promised, none was elsewhere,
    /// none of cotton was in the hall that it avoids, and versions never went back. The longest time between two such placements.
    pub fn judged(&self, old: &'static str, new: &'static str) -> Duration {
        let history = self.fleet.since("dagger", Duration::ZERO);
        let found = judge::contradiction(&history, in_hall(old), in_hall(new));
        let time = found.as_ref().map_or(Duration::ZERO, |found| found.time);
        assert!(time <= PASSES, "{found:?}");
        assert_eq!(judge::forbidden(&history, &[&in_hall(old), &in_hall(new)]), Vec::<&Placed>::new());
        let cotton = self.fleet.since("cotton", Duration::ZERO);
        assert_eq!(judge::forbidden(&cotton, &[&in_hall("a"), &in_hall("b")]), Vec::<&Placed>::new());
        assert_eq!(judge::disagreements(&self.versions()), Vec::<String>::new());
        // By the proxies' records: a version means one hall, whoever acts on it.
        let said = self.by_version("dagger");
        assert!(!said.is_empty() && said.values().all(|halls| halls.len() == 1), "{said:?}");
        let decided = self.apart_when_decided("dagger");
        assert!(decided <= ACT, "{decided:?}");
        self.judged_by_outcomes("dagger");
        time
    }

    /// The halls to which this tenant's requests were sent, by version, from the proxies' records.
    pub fn by_version(&self, tenant: &str) -> BTreeMap<u64, BTreeSet<String>> {
        let mut halls = BTreeMap::<u64, BTreeSet<String>>::new();
        for ((_, node), version) in self.said(tenant) {
            let hall = NODES.iter().find(|(id, ..)| *id == node).unwrap().1;
            halls.entry(version).or_default().insert(hall.to_owned());
        }
        halls
    }

    /// The attempts for this tenant's requests, from the proxies' records.
    pub fn attempts(&self, tenant: &str) -> Vec<RecordedAttempt> {
        self.proxies.iter().flat_map(|proxy| recorded_attempts(&proxy.records(), tenant)).collect()
    }

    /// By which version the proxies say that they sent this tenant's requests to a node: by the client's id and the node.
    pub fn said(&self, tenant: &str) -> BTreeMap<(u64, String), u64> {
        let sent = self.attempts(tenant).into_iter().filter(|attempt| attempt.may_be_sent);
        sent.map(|attempt| ((attempt.id, attempt.node), attempt.version)).collect()
    }

    /// The longest time between incompatible versions by the proxies' records: when they began attempts, not when requests
    /// arrived and were recorded. All of them read one clock here.
    pub fn apart_when_decided(&self, tenant: &str) -> Duration {
        apart(self.attempts(tenant), tenant)
    }

    /// Checks that nothing arrived of which the proxies recorded that they had not sent it.
    fn judged_by_outcomes(&self, tenant: &str) {
        let (history, attempts) = (self.fleet.since(tenant, Duration::ZERO), self.attempts(tenant));
        assert_eq!(judge::arrived_unsent(&history, &attempts), Vec::<&Placed>::new());
    }

    /// However many versions there were: each meant one hall, and no two that contradict each other were acted on further apart
    /// than stated, by what arrived at the nodes. The longest time that was seen.
    pub fn judged_by_versions(&self, tenant: &str) -> Duration {
        let said = self.said(tenant);
        let history = self.fleet.since(tenant, Duration::ZERO).into_iter().filter_map(|placed| {
            // What a killed proxy had not written is not known.
            Some((*said.get(&(placed.id, placed.node.clone()))?, placed))
        });
        let history: Vec<(u64, Placed)> = history.collect();
        let halls = self.by_version(tenant);
        assert!(!history.is_empty() && halls.values().all(|halls| halls.len() == 1), "{halls:?}");
        assert_eq!(judge::disagreements(&self.versions()), Vec::<String>::new());
        let found = judge::overlap(&history);
        let time = found.as_ref().map_or(Duration::ZERO, |found| found.time);
        assert!(time <= PASSES, "{found:?}");
        let decided = self.apart_when_decided(tenant);
        assert!(decided <= ACT, "{decided:?}");
        self.judged_by_outcomes(tenant);
        time
    }
}

#[cfg(test)]
mod self_tests {
    use super::*;

    /// One proxy's attempt by version 1, begun 300 ms after another proxy's by version 2, with this outcome.
    fn late_attempt(outcome: &str) -> Vec<RecordedAttempt> {
        let request = |id| format!(r#"{{"event":"request","request":7,"wire_id":"{id}","tenant":"dagger"}}"#);
        let attempt = |at_us: u64, node, version| {
            let ruled = format!(r#"{{"version":{version},"in_doubt":false}}"#);
            let times = format!(r#""wall_us":{at_us},"event":"attempt""#);
            format!(r#"{{{times},"request":7,"attempt":0,"subchannel":"{node}","ruled":{ruled}}}"#)
        };
        let ended = format!(r#"{{"event":"attempt_ended","request":7,"attempt":0,"outcome":"{outcome}"}}"#);
        let old = [request("1a"), attempt(500_000, "a0", 1), ended];
        let new = [request("2b"), attempt(200_000, "b0", 2)];
        let read = |lines: &[String]| -> Vec<OwnedValue> {
            lines
                .iter()
                .map(|line| simd_json::to_owned_value(&mut line.clone().into_bytes()).unwrap())
                .collect()
        };
        [read(&old), read(&new)].iter().flat_map(|records| recorded_attempts(records, "dagger")).collect()
    }

    /// Guards the storms against counting an attempt in which a proxy was suspended, and which it withdrew as too late.
    #[test]
    fn withdrawn_attempt_acts_on_no_version() {
        assert_eq!(apart(late_attempt("not_sent"), "dagger"), Duration::ZERO);
        for outcome in ["timed_out", "reset", "cancelled", "served"] {
            assert_eq!(apart(late_attempt(outcome), "dagger"), Duration::from_millis(300), "{outcome}");
        }
    }
}
