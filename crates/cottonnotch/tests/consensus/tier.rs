//! A tier of proxies for a story: everything that they need, started.

use crate::judge::{self, Client, Placed};
use crate::link::Mesh;
use crate::proxy::Proxy;
use crate::standin::{Clients, Discovery, Fleet, Habit};
use crate::{PATIENCE, within};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The render nodes of each story: two in each hall, of two hardware classes.
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

/// Proxies, the network between them, and all that they deal with.
pub struct Tier {
    pub proxies: Vec<Proxy>,
    pub mesh: Mesh,
    pub fleet: Fleet,
    pub discovery: Discovery,
    pub clients: Clients,
    pub began: Instant,
    /// Proxies that were killed or frozen, since when.
    pub excused: BTreeMap<usize, Duration>,
    folder: TempDir,
}

impl Tier {
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
        Tier { proxies, mesh, fleet, discovery, clients, began, excused: BTreeMap::new(), folder }
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

    /// Clients of this tenant come to each proxy.
    pub fn crowd(&self, tenant: &'static str) {
        (0..self.proxies.len()).for_each(|number| self.come(number, Habit::of(tenant)));
    }

    pub fn come(&self, number: usize, habit: Habit) {
        self.clients.come(number, &self.proxies[number].address, habit);
    }

    pub fn freeze(&mut self, number: usize) {
        self.excuse(number);
        self.proxies[number].freeze();
    }

    pub fn kill(&mut self, number: usize) {
        self.excuse(number);
        self.proxies[number].kill();
    }

    /// Its clients may be cut off or wait in vain from now on.
    fn excuse(&mut self, number: usize) {
        let now = self.now();
        self.excused.entry(number).or_insert(now);
    }

    /// Waits until something of this tenant arrived that `wanted` says, after this time.
    pub fn arrives(
        &self,
        what: &str,
        tenant: &str,
        from: Duration,
        wanted: impl Fn(&Placed) -> bool,
    ) -> Placed {
        within(PATIENCE, what, || self.fleet.since(tenant, from).into_iter().find(&wanted))
    }

    /// Waits until as many clients that came to this proxy after that time had an answer of which this holds.
    pub fn answered(
        &self,
        what: &str,
        number: usize,
        from: Duration,
        count: usize,
        wanted: impl Fn(&Client) -> bool,
    ) {
        let counts = |client: &&Client| client.proxy == number && client.sent >= from && wanted(client);
        within(PATIENCE, what, || {
            (self.clients.so_far().iter().filter(counts).count() >= count).then_some(())
        });
    }

    /// The end: no more clients come, and none of them was wronged. What became of them.
    pub fn finish(&self) -> Vec<Client> {
        let clients = self.clients.finish();
        assert_eq!(judge::wronged(&clients, &self.excused), Vec::<String>::new());
        clients
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.clients.stop();
    }
}

/// Without rules the program serves on as ever, and the rig sees what befalls its clients.
#[test]
fn cluster_accounts_for_every_client() {
    let mut tier = Tier::new(3, 1, |_, _, _| String::new());
    tier.start();
    tier.crowd("cotton");
    (0..3).for_each(|number| tier.answered("clients served", number, Duration::ZERO, 5, up));
    let drained = tier.now();
    tier.discovery.set_phase("a0", "draining");
    tier.freeze(1);
    tier.kill(2);
    std::thread::sleep(Duration::from_millis(500));
    tier.proxies[1].thaw();
    tier.proxies[2].start();
    let from = tier.now();
    (0..3).for_each(|number| tier.answered("clients served again", number, from, 5, up));
    let clients = tier.finish();
    // The one that was started anew begins with the list of its configuration.
    let anew = |placed: &Placed| clients.iter().any(|client| client.id == placed.id && client.proxy == 2);
    let history: Vec<Placed> = tier.fleet.history().into_iter().filter(|placed| !anew(placed)).collect();
    assert_eq!(judge::after_drain(&history, "a0", drained, DRAINED_WITHIN), Vec::<&Placed>::new());
    let cut = |proxy| {
        let cut =
            |client: &&Client| client.proxy == proxy && matches!(client.ended, Some((_, judge::End::Cut)));
        clients.iter().filter(cut).count()
    };
    assert!(cut(2) > 0 && cut(0) == 0, "those of the killed one were cut off: {}", cut(2));
}

/// It was served.
pub fn up(client: &Client) -> bool {
    client.answers.first().is_some_and(|(_, answer)| *answer == judge::Answer::Up)
}
