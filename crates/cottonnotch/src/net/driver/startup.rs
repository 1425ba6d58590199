//! Starts the driver: opens the sockets and files, and creates the parts in order.

use super::Driver;
use super::acceptor::Acceptor;
use super::audit::Audit;
use super::clients::Clients;
use super::clock_file::ClockFile;
use super::context::Context;
use super::endpoints::{Endpoints, UpdateSource};
use super::lifecycle::{Lifecycle, Predecessor, ReadConfig};
use super::log_target::LOG_TARGET;
use super::management::{Management, shared_file_path};
use super::message_latency::MessageLatency;
use super::peers::Peers;
use super::records::Records;
use super::transient_errors::retry_transient;
use crate::config::Config;
use crate::net::network_event::NetworkEvent;
use crate::net::object::Object;
use crate::rules::RulesService;
use cottonnotch_decision::Balancer;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use cottonnotch_reactor::signals::{SIGHUP, SIGTERM, Signals};
use cottonnotch_reactor::{Clock, Reactor};
use cottonnotch_records::Recorder;
use std::collections::VecDeque;
use std::io;

impl Driver {
    /// Opens the sockets and starts the decision module. `read_config` reads the configuration again on SIGHUP.
    ///
    /// Returns the system's error if a step fails. Transient errors are retried first.
    pub fn start(config: Config, recorder: Recorder, read_config: ReadConfig) -> io::Result<Self> {
        let reactor = start_reactor(&config)?;
        let mut balancer = Balancer::new(config.profile.settings.clone(), config.seed, reactor.io.now());
        let initial_endpoints = config.initial_endpoints.clone();
        let records_on = recorder.is_on();
        let mut context = create_context(reactor, config, recorder);
        context.save_wall_clock();
        let mut lifecycle = Lifecycle::new(&context, read_config);
        let predecessor = lifecycle.find_predecessor(&mut context);
        if let Some(rules) = start_rules(&context, records_on, predecessor)? {
            balancer = balancer.with_rules(Box::new(rules.verdicts().clone()));
            context.rules = Some(rules);
        }
        let mut driver = Driver {
            latency: MessageLatency::start(&mut context),
            peers: retry_transient("open the socket for other proxies", || {
                Peers::start(&mut context, predecessor)
            })?,
            management: retry_transient("open the operators' address", || Management::start(&mut context))?,
            context,
            balancer,
            pending_events: VecDeque::new(),
            acceptor: Acceptor::default(),
            clients: Clients::default(),
            endpoints: Endpoints::default(),
            lifecycle,
            no_endpoint_log: RateLimitedLog::default(),
            listen_failure_log: RateLimitedLog::default(),
        };
        let process_count = driver.lifecycle.process_count_change();
        driver.handle_event(process_count);
        // Must precede the first list: no request may go to an endpoint in maintenance.
        driver.sync_maintenance();
        driver.apply_endpoint_update(initial_endpoints, UpdateSource::Configuration);
        if predecessor == Predecessor::Serving {
            log::info!(target: LOG_TARGET, "an earlier process serves, clients are accepted once the list is there");
        } else if driver.lifecycle.is_exchanging_ids(driver.clients.open_ids()) {
            retry_transient("listen for clients", || driver.listen())?;
        }
        Ok(driver)
    }
}

/// Creates the event loop and registers the process's signals with it.
fn start_reactor(config: &Config) -> io::Result<Reactor<dyn Object>> {
    let mut reactor = retry_transient("poll", || Reactor::<dyn Object>::new(Clock::unix()))?;
    reactor.io.buffer_bound = config.buffer_bound;
    // Without these handlers, the signals' default action would end the process.
    let signals: [(i32, fn() -> NetworkEvent); 2] =
        [(SIGTERM, || NetworkEvent::Terminate), (SIGHUP, || NetworkEvent::Reload)];
    for (signal, network_event) in signals {
        retry_transient("register signal handlers", || {
            reactor.insert(|key, io| Ok(Box::new(Signals::register(signal, network_event, key, io)?)))
        })?;
    }
    Ok(reactor)
}

fn create_context(reactor: Reactor<dyn Object>, config: Config, recorder: Recorder) -> Context {
    let records = Records::new(recorder, &config.profile);
    let audit = Audit::new(config.profile.settings.clone());
    let clock_file = ClockFile::new(shared_file_path(config.listen, "clock"), reactor.io.now());
    let wall_clock = clock_file.load(reactor.io.now(), Clock::wall_now());
    Context {
        reactor,
        config,
        records,
        audit,
        wall_clock,
        clock_file,
        rules: None,
        sibling_descriptors: 0,
        requests_in_progress: 0,
    }
}

/// Starts the rules, if they are configured. Fails if the thread that runs their consensus cannot be started.
fn start_rules(
    context: &Context,
    records_on: bool,
    predecessor: Predecessor,
) -> io::Result<Option<RulesService>> {
    let Some(settings) = context.config.rules.clone() else { return Ok(None) };
    let (profile, seed) = (&context.config.profile, context.config.seed);
    let has_predecessor = predecessor == Predecessor::Serving;
    RulesService::start(settings, profile, seed, records_on, has_predecessor).map(Some)
}
