//! Starting the driver: the sockets, the files, and the parts in their order.

use super::Driver;
use super::acceptor::Acceptor;
use super::audit::Audit;
use super::clients::Clients;
use super::clock_file::ClockFile;
use super::context::{Context, LOG_TARGET};
use super::endpoints::Endpoints;
use super::lifecycle::{Lifecycle, Reread};
use super::management::{Management, shared_file};
use super::message_latency::MessageLatency;
use super::peers::Peers;
use super::records::Records;
use super::transient_errors::retry_transient;
use crate::config::Config;
use crate::net::network_event::{NetworkEvent, Object};
use crate::rules::RulesService;
use cottonnotch_decision::Balancer;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use cottonnotch_reactor::signals::{SIGHUP, SIGTERM, Signals};
use cottonnotch_reactor::{Clock, Reactor};
use cottonnotch_records::Recorder;
use std::collections::VecDeque;
use std::io;

impl Driver {
    /// Opens the sockets and starts the module. `reread` gets the configuration anew on SIGHUP.
    pub fn start(config: Config, recorder: Recorder, reread: Reread) -> io::Result<Self> {
        let mut reactor = retry_transient("poll", || Reactor::<dyn Object>::new(Clock::unix()))?;
        reactor.io.buffer_bound = config.buffer_bound;
        // Guards against the system's own answer to a signal, which is to end the process.
        let signals: [(i32, fn() -> NetworkEvent); 2] =
            [(SIGTERM, || NetworkEvent::Terminate), (SIGHUP, || NetworkEvent::Reload)];
        for (signal, network_event) in signals {
            retry_transient("hear signals", || {
                reactor.insert(|key, io| Ok(Box::new(Signals::register(signal, network_event, key, io)?)))
            })?;
        }
        let mut balancer = Balancer::new(config.profile.settings.clone(), config.seed, reactor.io.now());
        let known = config.initial_endpoints.clone();
        let names = recorder.is_on();
        let records = Records::new(recorder, &config.profile);
        let audit = Audit::new(config.profile.settings.clone());
        let clock_file = ClockFile::at(shared_file(config.listen, "clock"), reactor.io.now());
        let wall_clock = clock_file.load(reactor.io.now(), Clock::wall());
        let mut context = Context {
            reactor,
            config,
            records,
            audit,
            wall_clock,
            clock_file,
            rules: None,
            sibling_descriptors: 0,
            requests: 0,
        };
        context.save_wall_clock();
        let mut lifecycle = Lifecycle::new(&context, reread);
        let has_predecessor = lifecycle.has_predecessor(&mut context);
        if let Some(settings) = context.config.rules.clone() {
            let (profile, seed) = (&context.config.profile, context.config.seed);
            let rules = RulesService::start(settings, profile, seed, names, has_predecessor)?;
            balancer = balancer.with_rules(Box::new(rules.rulings().clone()));
            context.rules = Some(rules);
        }
        let mut driver = Driver {
            latency: MessageLatency::start(&mut context),
            peers: retry_transient("hear other proxies", || Peers::start(&mut context, has_predecessor))?,
            management: retry_transient("hear operators", || Management::start(&mut context))?,
            context,
            balancer,
            pending: VecDeque::new(),
            acceptor: Acceptor::default(),
            clients: Clients::default(),
            endpoints: Endpoints::default(),
            lifecycle,
            no_endpoint_log: RateLimitedLog::default(),
            listen_failure_log: RateLimitedLog::default(),
        };
        // Before the first list: nothing must go to what is out.
        driver.sync_maintenance();
        driver.apply_endpoint_update(known, true);
        if has_predecessor {
            log::info!(target: LOG_TARGET, "an earlier process serves, clients are let in once the list is there");
        } else {
            retry_transient("listen for clients", || driver.listen())?;
        }
        Ok(driver)
    }
}
