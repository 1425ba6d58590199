//! The kit's own hand in a run: starts the proxies, and kills, stops, restarts and reloads them when the plan says.

use crate::addresses::Addresses;
use crate::board::Board;
use crate::emulator::discovery_list;
use crate::notes::Notes;
use crate::observation::{Observation, Seen, Signal};
use crate::plan::{DiscoveryChange, Plan, ProxyChange, ProxyId, TimelineChange, TimelineEvent};
use crate::processes::{Daemon, Process, ProcessError, Usage, usage};
use crate::settings;
use crate::time::Micros;
use rustix::process::Signal as Sig;
use serde::Serialize;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Between two looks at the processes. An exit is noted at most this much late.
pub const LOOK: Micros = 2_000;
/// Between two readings of what a process uses.
const READ_EVERY: Micros = 500_000;

/// A proxy's file for `GW_CONFIG`.
#[derive(Serialize)]
struct Configuration<'a> {
    name: &'a str,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    peer_listen: String,
    peers: Vec<String>,
    peers_all: String,
    known: simd_json::OwnedValue,
    settings: simd_json::OwnedValue,
}

#[derive(Serialize)]
struct Limits {
    cores: f64,
    memory_mb: u32,
    sockets: u32,
}

/// Why a run could not go on.
#[derive(Debug, thiserror::Error)]
pub enum ConductError {
    /// A process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A file of the run.
    #[error("{path} cannot be written: {error}")]
    File {
        /// Which.
        path: PathBuf,
        /// The system's reason.
        error: io::Error,
    },
    /// A configuration could not be rendered.
    #[error("a proxy's configuration cannot be written as JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// A proxy never served.
    #[error("proxy {name} did not answer the front's PING before the run began. Its log ends:\n{log}")]
    Silent {
        /// Its name.
        name: String,
        /// The last lines of its log.
        log: String,
    },
}

/// What one proxy used, over all its lives in the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProxyUsage {
    /// Its name.
    pub name: String,
    /// Processes that were started under its name.
    pub lives: u32,
    /// CPU time of all of them, in microseconds.
    pub cpu_us: u64,
    /// The most memory that one of them held, in KiB.
    pub peak_kib: u64,
    /// The most descriptors that were seen open at once.
    pub descriptors: u64,
}

struct Proxy {
    process: Option<Process>,
    /// Signalled to end at that time, and not gone yet.
    leaving: Option<Micros>,
    held_at: Option<Micros>,
    /// To be started as soon as the old process is gone.
    due_start: bool,
    starts: u32,
    last: Usage,
    used: ProxyUsage,
}

/// Everything that concerns the processes of one run.
pub struct Conductor {
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
    daemon: Daemon,
    folder: PathBuf,
    proxies: Vec<Proxy>,
    next: usize,
    discovery_moves: u16,
    next_reading: Micros,
    notes: Notes,
}

impl Conductor {
    /// Prepares; `folder` takes configurations and logs.
    pub fn new(
        plan: Arc<Plan>,
        addresses: Arc<Addresses>,
        board: Arc<Board>,
        daemon: Daemon,
        folder: &Path,
    ) -> Self {
        let proxy = |proxy: &crate::plan::Proxy| Proxy {
            process: None,
            leaving: None,
            held_at: None,
            due_start: false,
            starts: 0,
            last: Usage::default(),
            used: ProxyUsage { name: proxy.name.clone(), ..ProxyUsage::default() },
        };
        let proxies = plan.proxies.iter().map(proxy).collect();
        Conductor {
            plan,
            addresses,
            board,
            daemon,
            folder: folder.to_owned(),
            proxies,
            next: 0,
            discovery_moves: 0,
            next_reading: Micros::MIN,
            notes: Notes::default(),
        }
    }

    fn ids(&self) -> impl Iterator<Item = ProxyId> + use<> {
        (0..self.plan.proxies.len() as u16).map(ProxyId)
    }

    /// Starts all proxies.
    pub fn start(&mut self) -> Result<(), ConductError> {
        for id in self.ids() {
            self.begin(id)?;
        }
        Ok(())
    }

    /// Fails, with the end of its log, if a proxy does not serve by now.
    pub fn check_started(&self) -> Result<(), ConductError> {
        let Some(silent) = self.ids().find(|id| !self.board.is_admitted(*id)) else { return Ok(()) };
        let name = self.plan.proxies[usize::from(silent.0)].name.clone();
        let log = fs::read_to_string(self.log_path(silent)).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let log = lines[lines.len().saturating_sub(5)..].join("\n");
        Err(ConductError::Silent { name, log })
    }

    /// A look at the clock and at the processes; to be called every [`LOOK`].
    pub fn look(&mut self) -> Result<(), ConductError> {
        let now = self.board.clock.now();
        while let Some(TimelineEvent { at, change: what }) =
            self.plan.timeline.get(self.next).cloned().filter(|h| h.at <= now)
        {
            self.next += 1;
            match what {
                TimelineChange::Proxy(id, change) => self.change(id, change)?,
                TimelineChange::Discovery(DiscoveryChange::MoveAway) => {
                    self.discovery_moves += 1;
                    for id in self.ids() {
                        self.reload(id)?;
                    }
                }
                TimelineChange::Mark(text) => self.notes.note(at, Seen::Mark { text }),
                _ => {}
            }
        }
        for id in self.ids() {
            self.attend(id, now)?;
        }
        if self.next_reading <= now {
            self.next_reading = now + READ_EVERY;
            self.read_usage();
        }
        Ok(())
    }

    /// Ends all processes and hands over what was noted and used. Nothing that happens from here on is judged.
    pub fn finish(mut self) -> (Vec<Observation>, Vec<ProxyUsage>) {
        self.read_usage();
        for proxy in &mut self.proxies {
            proxy.settle();
            proxy.process = None;
        }
        (self.notes.into_inner(), self.proxies.into_iter().map(|proxy| proxy.used).collect())
    }

    fn note(&mut self, seen: Seen) {
        self.notes.note(self.board.clock.now(), seen);
    }

    fn change(&mut self, id: ProxyId, change: ProxyChange) -> Result<(), ConductError> {
        let now = self.board.clock.now();
        match change {
            ProxyChange::Kill => self.signal(id, Signal::Kill, Sig::KILL)?,
            ProxyChange::Terminate => {
                self.signal(id, Signal::Terminate, Sig::TERM)?;
                let proxy = &mut self.proxies[usize::from(id.0)];
                proxy.leaving = Some(now);
                proxy.held_at = Some(now + self.plan.front.leaves_after);
            }
            ProxyChange::Start => self.proxies[usize::from(id.0)].due_start = true,
            ProxyChange::Reload => self.reload(id)?,
        }
        Ok(())
    }

    fn signal(&mut self, id: ProxyId, signal: Signal, number: Sig) -> Result<(), ConductError> {
        // Noted before it is sent: whatever it does is seen later than this.
        self.note(Seen::ProxySignalled { proxy: id, signal });
        match &mut self.proxies[usize::from(id.0)].process {
            Some(process) => Ok(process.signal(number)?),
            None => Ok(()),
        }
    }

    fn reload(&mut self, id: ProxyId) -> Result<(), ConductError> {
        if self.proxies[usize::from(id.0)].process.is_none() {
            // It reads the new file when it starts.
            return Ok(());
        }
        self.write_configuration(id)?;
        self.signal(id, Signal::Reload, Sig::HUP)
    }

    /// Sees to one proxy: its end, its time to leave, its new start.
    fn attend(&mut self, id: ProxyId, now: Micros) -> Result<(), ConductError> {
        let index = usize::from(id.0);
        if self.proxies[index].held_at.is_some_and(|at| at <= now) {
            self.proxies[index].held_at = None;
            self.board.hold(id, true);
        }
        let exited = self.proxies[index].process.as_mut().and_then(Process::exited);
        if let Some(status) = exited {
            self.proxies[index].settle();
            self.proxies[index].process = None;
            self.proxies[index].leaving = None;
            self.note(Seen::ProxyExited { proxy: id, code: status.code() });
        }
        if let Some(since) = self.proxies[index].leaving
            && now - since > self.plan.rules.term_to_kill + self.plan.rules.grace
        {
            self.proxies[index].leaving = None;
            self.signal(id, Signal::Kill, Sig::KILL)?;
        }
        if self.proxies[index].due_start && self.proxies[index].process.is_none() {
            self.proxies[index].due_start = false;
            self.begin(id)?;
        }
        Ok(())
    }

    fn begin(&mut self, id: ProxyId) -> Result<(), ConductError> {
        let path = self.write_configuration(id)?;
        let index = usize::from(id.0);
        let Some(proxy) = self.plan.proxies.get(index) else { return Ok(()) };
        let log_path = self.log_path(id);
        let log = OpenOptions::new().create(true).append(true).open(&log_path);
        let log: File = log.map_err(|error| ConductError::File { path: log_path, error })?;
        let environment: [(&str, OsString); 4] = [
            ("GW_NAME", proxy.name.clone().into()),
            ("GW_LISTEN", self.addresses.proxy(id).to_string().into()),
            ("GW_DISCOVERY", self.addresses.discovery(self.discovery_moves, id).to_string().into()),
            ("GW_CONFIG", path.into_os_string()),
        ];
        let process = Process::start(&self.daemon, &environment, u64::from(proxy.sockets), log)?;
        let pid = process.pid();
        self.proxies[index].starts += 1;
        self.proxies[index].process = Some(process);
        self.board.hold(id, false);
        self.note(Seen::ProxyStarted { proxy: id, pid });
        Ok(())
    }

    fn log_path(&self, id: ProxyId) -> PathBuf {
        self.folder.join(format!("proxy-{}.log", id.0))
    }

    fn write_configuration(&mut self, id: ProxyId) -> Result<PathBuf, ConductError> {
        let index = usize::from(id.0);
        let (plan, addresses) = (&self.plan, &self.addresses);
        let proxy = &plan.proxies[index];
        // A new start has a new seed, and the same plan gives it the same one.
        let seed = proxy
            .seed
            .wrapping_add(u64::from(self.proxies[index].starts).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let configuration = Configuration {
            name: &proxy.name,
            listen: addresses.proxy(id).to_string(),
            discovery: addresses.discovery(self.discovery_moves, id).to_string(),
            seed: format!("{seed:016x}"),
            limits: Limits { cores: 1.0, memory_mb: proxy.memory_mb, sockets: proxy.sockets },
            peer_listen: addresses.peer(id).to_string(),
            peers: (0..plan.member_count()).map(|of| addresses.relay(ProxyId(of), id).to_string()).collect(),
            peers_all: addresses.relay_to_all(id).to_string(),
            known: self.known(id)?,
            settings: settings::settings(plan, id),
        };
        let text = simd_json::to_string(&configuration)?;
        let path = self.folder.join(format!("proxy-{}.json", id.0));
        let fresh = path.with_extension("json.new");
        let written = fs::write(&fresh, text).and_then(|()| fs::rename(&fresh, &path));
        written.map_err(|error| ConductError::File { path: path.clone(), error })?;
        Ok(path)
    }

    /// The list as a proxy has it from before its start.
    fn known(&self, id: ProxyId) -> Result<simd_json::OwnedValue, ConductError> {
        let text = discovery_list::initial_list(&self.plan, &self.addresses, &self.board.clock, id)?;
        Ok(simd_json::to_owned_value(&mut text.into_bytes())?)
    }

    fn read_usage(&mut self) {
        for proxy in &mut self.proxies {
            let Some(used) = proxy.process.as_ref().and_then(|process| usage(process.pid())) else {
                continue;
            };
            proxy.last = used;
            proxy.used.peak_kib = proxy.used.peak_kib.max(used.peak_kib);
            proxy.used.descriptors = proxy.used.descriptors.max(used.descriptors);
        }
    }
}

impl Proxy {
    /// Adds up what the life that ends now has used, as last read.
    fn settle(&mut self) {
        if self.process.is_some() {
            self.used.lives += 1;
            self.used.cpu_us += std::mem::take(&mut self.last).cpu_us;
        }
    }
}
