//! A fleet of hollow proxies on sockets, from its start to its figures, which follow from the reports of its threads.

use crate::counters::Counts;
use crate::discovery::Discovery;
use crate::judge::judge;
use crate::member_threads::{RunOptions, ThreadReport, Topology, start_threads};
use crate::peers_member::FleetView;
use crate::records::{MemberEvent, Record};
use crate::run_result::{RunResult, Spread, add_counters};
use crate::shape::Shape;
use crate::sockets::address;
use crate::watch;
use cottonnotch_decision::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, Instant};

/// Revisions of the endpoint list: the one of the start, and the one published later without a zone.
const FIRST: u64 = 1;
const CHANGED: u64 = 2;
/// Nodes of a lower utilization are not reported.
const MIN_UTILIZATION: f64 = cottonnotch_aggregation::wire::MIN_REPORTED_UTILIZATION;

/// Runs and measures a fleet of this shape; `heap` returns the bytes that the process has allocated.
pub fn play(shape: &Shape, options: RunOptions, heap: impl Fn() -> usize) -> io::Result<RunResult> {
    let began = Instant::now();
    let list = shape.list(FIRST, None);
    let list_bytes = list.len() as f64;
    let known = watch::parse_endpoints(list.clone().into_bytes()).ok_or(io::ErrorKind::InvalidData)?;
    let discovery = Discovery::start(address(60_000, 0), FIRST, list)?;
    let empty = heap();
    let members: Vec<u32> = (0..shape.members).collect();
    let (run, receiver) =
        start_threads(shape, options, &members, discovery.address(), known, Topology::Direct)?;
    run.steps[0].wait();
    let hollow = heap();
    run.steps[1].wait();
    run.steps[2].wait();
    let open = heap();
    let connected = Instant::now();
    std::thread::sleep(Duration::from_secs_f64(options.warm_up + options.window));
    let warm = heap();
    let resident = resident();
    std::thread::sleep(Duration::from_millis(300));
    let changed = run.clock.now();
    discovery.publish(CHANGED, shape.list(CHANGED, Some(0)));
    let reports: Vec<ThreadReport> = receiver.iter().collect::<io::Result<_>>()?;
    debug_assert!(connected.elapsed().as_secs_f64() > options.window);
    let mut line = RunResult {
        shape: shape.clone(),
        world: "sockets".into(),
        seconds: options.window,
        list_bytes,
        resident,
        heap_bytes: (hollow - empty + warm.saturating_sub(open)) as f64 / f64::from(shape.members),
        heap_bytes_connection: (open - hollow) as f64
            / (f64::from(shape.members) * f64::from(shape.connections)).max(1.0),
        ..RunResult::default()
    };
    line.fault = options.fault;
    let mut records: Vec<Record> = reports.iter().flat_map(|report| report.records.iter().cloned()).collect();
    records.sort_by_key(|record| record.at);
    // Judged until the list changes: the one published at the end loses a zone.
    line.verdict = judge(&records, changed);
    add_counts(&mut line, &reports);
    add_list_times(&mut line, &reports, changed);
    add_view_errors(&mut line, &reports);
    line.took_s = began.elapsed().as_secs_f64();
    Ok(line)
}

fn add_counts(line: &mut RunResult, reports: &[ThreadReport]) {
    let counts: Vec<(u32, Counts)> =
        reports.iter().flat_map(|report| report.counts.iter().copied()).collect();
    let cpu: Duration = reports.iter().map(|report| report.cpu).sum();
    line.cpu_us = cpu.as_secs_f64() * 1e6 / counts.len() as f64 / line.seconds;
    let leaders: BTreeSet<u32> = reports.iter().flat_map(|report| report.leaders.iter().copied()).collect();
    add_counters(line, &counts, &leaders);
}

fn add_list_times(line: &mut RunResult, reports: &[ThreadReport], changed: Micros) {
    let stopped = reports
        .iter()
        .flat_map(|report| &report.records)
        .filter(|record| record.event == MemberEvent::Stopped)
        .count();
    let records = reports.iter().flat_map(|report| &report.records);
    let taken = records.filter_map(|record| match record.event {
        MemberEvent::EndpointsReceived { revision: CHANGED, .. } => Some((record.at - changed) as f64 / 1e6),
        _ => None,
    });
    let taken = taken.collect::<Vec<f64>>();
    let all = taken.len() + stopped == line.shape.members as usize;
    let spread = Spread::of(taken);
    // Below zero: not all have applied it.
    line.list_all_s = if all { spread.max } else { -1.0 };
    line.list_mean_s = spread.mean;
}

fn add_view_errors(line: &mut RunResult, reports: &[ThreadReport]) {
    let mut truth: BTreeMap<u32, (f64, BTreeSet<u32>)> = BTreeMap::new();
    let mut pairs = 0;
    for (node, (load, groups)) in reports.iter().flat_map(|report| &report.node_loads).flatten() {
        pairs += groups.len();
        let (sum, all) = truth.entry(*node).or_default();
        *sum += load;
        all.extend(groups);
    }
    line.own_pairs = pairs as f64 / f64::from(line.shape.members);
    let used = truth
        .into_iter()
        .map(|(node, (load, groups))| (node, line.shape.utilization_with(load, groups.len())));
    let used: BTreeMap<u32, f64> = used.filter(|(_, used)| *used >= MIN_UTILIZATION).collect();
    let views: Vec<_> = reports.iter().flat_map(|report| report.views.iter().flatten()).collect();
    if views.is_empty() {
        return;
    }
    let mean = |figure: &dyn Fn(&FleetView) -> f64| {
        views.iter().map(|view| figure(view)).sum::<f64>() / views.len() as f64
    };
    let all = used.len().max(1) as f64;
    line.view_members = mean(&|view| f64::from(view.members));
    line.period_s = mean(&|view| view.report_interval as f64 / 1e6);
    line.view_named = mean(&|FleetView { utilization: view, .. }| {
        used.keys().filter(|node| view.contains_key(node)).count() as f64 / all
    });
    line.view_error = mean(&|FleetView { utilization: view, .. }| {
        let error = |(node, used): (&u32, &f64)| (view.get(node).copied().unwrap_or(0.0) - used).abs();
        used.iter().map(error).sum::<f64>() / all
    });
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
