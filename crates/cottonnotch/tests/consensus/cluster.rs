//! A cluster of proxies for a scenario, with everything they need.

use crate::judge::{self, Client, Placed};
use crate::link::Mesh;
use crate::proxy::Proxy;
use crate::stand_ins::{ClientBehavior, Clients, Discovery, Fleet};
use crate::{MAX_WAIT, wait_for};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The render nodes of each scenario: two in each hall, of two hardware classes.
pub const NODES: [(&str, &str, &str); 6] = [
    ("a0", "a", "m1"),
    ("a1", "a", "m2"),
    ("b0", "b", "m1"),
    ("b1", "b", "m2"),
    ("c0", "c", "m1"),
    ("c1", "c", "m2"),
];

const SETTINGS: &str = r#"{"balancers":BALANCERS,"ordinal":ORDINAL,"zones":["a","b","c"],"zone":"a","registryMode":"on_request",
    "policyLimits":{"mostTries":3,"connectTimeout":1000000,"retryAfter":true,"maxRetryAfter":1000000},
    "familyInfo":{"messageAim":[150000.0]},
    "tenants":[{"name":"dagger"},{"name":"cotton"},{"name":"free"}],
    "requestClasses":[{"name":"look","effect":"safe","target":1000000,"deadline":2000000,"gain":1.0}]}"#;

/// The rule is a second; a test's threads are not always on time.
pub const DRAINED_WITHIN: Duration = Duration::from_secs(2);

/// Proxies, the network between them, and the stand-ins around them.
pub struct TestCluster {
    pub proxies: Vec<Proxy>,
    pub mesh: Mesh,
    pub fleet: Fleet,
    pub discovery: Discovery,
    pub clients: Clients,
    pub began: Instant,
    /// Proxies that were killed or stopped, and since when.
    pub excused: BTreeMap<usize, Duration>,
    folder: TempDir,
}

impl TestCluster {
    /// Proxies whose operator's file is made by `operator`, from the folder, the mesh and the proxy's number. None runs yet.
    pub fn new(size: usize, seed: u64, operator: impl Fn(&std::path::Path, &Mesh, usize) -> String) -> Self {
        let (folder, began) = (TempDir::new().unwrap(), Instant::now());
        let mesh = Mesh::new(size, seed);
        let discovery = Discovery::new(mesh.ip, size);
        let fleet = Fleet::new(mesh.ip, began, &discovery, &NODES);
        let proxies = (0..size).map(|number| {
            let path = folder.path().join(format!("p{number}"));
            let (ip, door) = (mesh.ip, discovery.door(number));
            let records = path.join("records");
            let settings = SETTINGS.replace("BALANCERS", &size.to_string());
            let settings = settings.replace("ORDINAL", &number.to_string());
            let platform = format!(
                r#"{{"name":"p{number}","listen":"{ip}:0","mgmt":"{ip}:0","discovery":"{door}","seed":"{number}","limits":{{"sockets":1024}},
                "known":{},"settings":{settings}}}"#,
                discovery.known()
            );
            let text = operator(&path, &mesh, number);
            let text = format!("[records]\nfile = \"{}\"\nflush_ms = 10\n{text}", records.display());
            Proxy::new(path, &platform, &text)
        });
        let proxies = proxies.collect();
        let clients = Clients::new(began);
        TestCluster { proxies, mesh, fleet, discovery, clients, began, excused: BTreeMap::new(), folder }
    }

    /// Starts all at once.
    pub fn start(&mut self) {
        std::thread::scope(|scope| {
            for proxy in &mut self.proxies {
                scope.spawn(|| proxy.start());
            }
        });
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Starts clients of this tenant at each proxy.
    pub fn start_clients_everywhere(&self, tenant: &'static str) {
        (0..self.proxies.len()).for_each(|number| self.start_clients(number, ClientBehavior::of(tenant)));
    }

    pub fn start_clients(&self, number: usize, behavior: ClientBehavior) {
        self.clients.start_clients(number, &self.proxies[number].address, behavior);
    }

    pub fn freeze(&mut self, number: usize) {
        self.excuse(number);
        self.proxies[number].freeze();
    }

    pub fn kill(&mut self, number: usize) {
        self.excuse(number);
        self.proxies[number].kill();
    }

    /// From now on its clients may be cut off or get no answer.
    fn excuse(&mut self, number: usize) {
        let now = self.now();
        self.excused.entry(number).or_insert(now);
    }

    /// Waits until a request of this tenant arrived that satisfies `wanted`, after this time.
    pub fn arrives(
        &self,
        what: &str,
        tenant: &str,
        from: Duration,
        wanted: impl Fn(&Placed) -> bool,
    ) -> Placed {
        wait_for(MAX_WAIT, what, || self.fleet.since(tenant, from).into_iter().find(&wanted))
    }

    /// Waits until as many clients that connected to this proxy after that time had an answer that satisfies `wanted`.
    pub fn answered(
        &self,
        what: &str,
        number: usize,
        from: Duration,
        count: usize,
        wanted: impl Fn(&Client) -> bool,
    ) {
        let counts = |client: &&Client| client.proxy == number && client.sent >= from && wanted(client);
        wait_for(MAX_WAIT, what, || {
            (self.clients.so_far().iter().filter(counts).count() >= count).then_some(())
        });
    }

    /// Ends the scenario: no more clients start, and none of them was wronged. Their records.
    pub fn finish(&self) -> Vec<Client> {
        let clients = self.clients.finish();
        assert_eq!(judge::violations(&clients, &self.excused), Vec::<String>::new());
        clients
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.clients.stop();
    }
}

/// Without rules the daemon serves, and the cluster accounts for each client of proxies that are stopped, killed and
/// restarted.
#[test]
fn cluster_accounts_for_every_client() {
    let mut cluster = TestCluster::new(3, 1, |_, _, _| String::new());
    cluster.start();
    cluster.start_clients_everywhere("cotton");
    (0..3).for_each(|number| cluster.answered("clients served", number, Duration::ZERO, 5, up));
    let drained = cluster.now();
    cluster.discovery.set_phase("a0", "draining");
    cluster.freeze(1);
    cluster.kill(2);
    std::thread::sleep(Duration::from_millis(500));
    cluster.proxies[1].thaw();
    cluster.proxies[2].start();
    let from = cluster.now();
    (0..3).for_each(|number| cluster.answered("clients served again", number, from, 5, up));
    let clients = cluster.finish();
    // The restarted one begins with the list of its configuration.
    let anew = |placed: &Placed| clients.iter().any(|client| client.id == placed.id && client.proxy == 2);
    let history: Vec<Placed> = cluster.fleet.history().into_iter().filter(|placed| !anew(placed)).collect();
    assert_eq!(judge::after_drain(&history, "a0", drained, DRAINED_WITHIN), Vec::<&Placed>::new());
    let cut = |proxy| {
        let cut =
            |client: &&Client| client.proxy == proxy && matches!(client.ended, Some((_, judge::End::Cut)));
        clients.iter().filter(cut).count()
    };
    assert!(cut(2) > 0 && cut(0) == 0, "those of the killed one were cut off: {}", cut(2));
}

/// Whether the client was served.
pub fn up(client: &Client) -> bool {
    client.answers.first().is_some_and(|(_, answer)| *answer == judge::Answer::Up)
}
