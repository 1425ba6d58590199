//! Compares the statistics with a simple oracle that evaluates every millisecond.

use crate::fixtures::{ENDS, Trace, established, judge_to, plan};
use cottonnotch_kit::judge::Outcome;
use cottonnotch_kit::observation::{Answer, Seen};
use cottonnotch_kit::plan::{Plan, SessionId};
use cottonnotch_kit::time::MS;
use proptest::prelude::*;

/// The demand of one session, in milliseconds: start, end, and the spans in which it was served (start, end, and
/// whether it was well served).
type SessionDemand = (i64, i64, Vec<(i64, i64, bool)>);

fn session_demand() -> impl Strategy<Value = SessionDemand> {
    (0i64..14_000, 0i64..9_000, prop::collection::vec((0i64..3000, 1i64..3000, any::<bool>()), 0..8))
        .prop_map(|(from, life, spans)| {
            let mut at = from;
            let spans = spans.into_iter().map(|(pause, span, well)| {
                let start = at + pause;
                at = start + span;
                (start, at, well)
            });
            (from, from + life, spans.collect())
        })
}

/// Weighted time that was requested and that was well served in the milliseconds `from..to`, for the sessions that
/// `is_counted` selects.
fn service_sums(
    plan: &Plan,
    demands: &[SessionDemand],
    (from, to): (i64, i64),
    is_counted: impl Fn(usize) -> bool,
) -> (f64, f64) {
    let (mut wanted, mut well) = (0.0, 0.0);
    for ms in from..to {
        for (i, (begins, ends, spans)) in demands.iter().enumerate().filter(|(i, _)| is_counted(*i)) {
            let worth = plan.classes[usize::from(plan.sessions[i].class)].worth;
            if *begins <= ms && ms < *ends {
                wanted += worth;
                let served = spans.iter().any(|(from, to, well)| *well && *from <= ms && ms < *to);
                well += if served { worth } else { 0.0 };
            }
        }
    }
    (wanted, well)
}

/// The tenant's requested and well-served time, each limited in every second to the demand within the tenant's quota.
fn limited_to_quota(
    plan: &Plan,
    demands: &[SessionDemand],
    tenant: u8,
    (from, to): (i64, i64),
) -> (f64, f64) {
    let quota = plan.tenants[usize::from(tenant)].quota_connections;
    let of_tenant = |i: usize| plan.sessions[i].tenant == tenant;
    let (mut total_wanted, mut total_well) = (0.0, 0.0);
    for second in (from..to).step_by(1000) {
        let mut within = 0.0;
        for ms in second..(second + 1000).min(to) {
            let active = |(i, s): &(usize, &SessionDemand)| of_tenant(*i) && s.0 <= ms && ms < s.1;
            let count = demands.iter().enumerate().filter(active).count() as f64;
            within += service_sums(plan, demands, (ms, ms + 1), of_tenant).0 * (quota / count.max(quota));
        }
        total_wanted += within;
        total_well += service_sums(plan, demands, (second, (second + 1000).min(to)), of_tenant).1.min(within);
    }
    (total_wanted, total_well)
}

fn lowest_ratio(parts: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    parts.filter(|(wanted, _)| *wanted > 0.0).map(|(wanted, well)| well / wanted).reduce(f64::min)
}

fn approx_eq(a: Option<f64>, b: Option<f64>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() < 1e-9,
        _ => a == b,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..Default::default() })]

    #[test]
    fn service_matches_oracle(demands in prop::collection::vec(session_demand(), 0..9), end in 3000i64..22_000) {
        let mut plan = plan(demands.len());
        (plan.measured_from, plan.ends) = (2500 * MS, 18_700 * MS);
        let mut trace = Trace::default();
        for (i, (from, until, spans)) in demands.iter().enumerate() {
            let (session, s) = (SessionId(i as u32), &plan.sessions[i]);
            let wanted = Seen::Wanted { session, class: s.class, tenant: s.tenant, until: until * MS };
            trace.add(*from as f64, wanted);
            for (from, to, well) in spans {
                trace.add(*to as f64, Seen::Served { session, from: from * MS, well: *well });
            }
        }
        // A span that has not ended is not observed, so the spans that reach beyond the end are dropped.
        let to = end.min(18_700);
        trace.0.retain(|(at, _)| *at <= to as f64);
        let clip = |(from, until, spans): &SessionDemand| {
            (*from, *until.min(&to), spans.iter().copied().filter(|(_, end, _)| *end <= to).collect())
        };
        let demands: Vec<SessionDemand> = demands.iter().map(clip).collect();
        let verdict = judge_to(&plan, &trace, end);
        let ratios = &verdict.figures.service.ratios;
        let measured = (2500, to);
        let whole = service_sums(&plan, &demands, measured, |_| true);
        prop_assert!(approx_eq(ratios.whole, lowest_ratio([whole].into_iter())), "whole: {ratios:?} {whole:?}");
        let total: f64 = verdict.figures.service_by_second().map(|s| s.wanted).sum();
        prop_assert!((total - whole.0 / 1e3).abs() < 1e-6, "wanted {total} {whole:?}");
        let seconds = (to - 2500 + 999) / 1000;
        let windows = (0..=(seconds - 10).max(0)).map(|i| 2500 + i * 1000);
        let windows = windows.map(|from| service_sums(&plan, &demands, (from, (from + 10_000).min(to)), |_| true));
        prop_assert!(approx_eq(ratios.worst_window, lowest_ratio(windows)), "window: {ratios:?}");
        let classes = (0..2u8).map(|c| service_sums(&plan, &demands, measured, |i| plan.sessions[i].class == c));
        prop_assert!(approx_eq(ratios.worst_class, lowest_ratio(classes)), "class: {ratios:?}");
        let tenants = (0..2u8).map(|t| limited_to_quota(&plan, &demands, t, measured));
        prop_assert!(approx_eq(ratios.worst_tenant, lowest_ratio(tenants)), "tenant: {ratios:?}");
    }
}

#[test]
fn counts_each_second_once() {
    let (mut trace, session) = (Trace::default(), SessionId(0));
    trace.add(1000.0, Seen::Wanted { session, class: 0, tenant: 0, until: 5000 * MS });
    for (from, to) in [(0, 2000), (1000, 2000), (1500, 3000), (4500, 9000)] {
        trace.add(f64::from(to), Seen::Served { session, from: i64::from(from) * MS, well: true });
    }
    let whole = judge_to(&plan(1), &trace, ENDS).figures.service.ratios.whole;
    assert!(approx_eq(whole, Some(2500.0 / 4000.0)), "{whole:?}");
}

#[test]
fn counts_match_trace() {
    let (mut trace, ids) = established();
    trace.rejected(30_000.0, crate::fixtures::request_ids(2, 1, 0));
    let retry =
        crate::fixtures::RequestIds { session: SessionId(2), ..crate::fixtures::request_ids(3, 1, 0) };
    trace.rejected(30_100.0, retry).answered(1012.0, ids, Answer::Busy(0));
    trace.add(5.0, Seen::Unreached { session: SessionId(1), proxy: ids.proxy });
    for took in 1..=100 {
        trace.add(1000.0, Seen::MessageTook { class: 1, took: took * MS });
    }
    let mut plan = plan(60);
    plan.demands.service = 0.5;
    let verdict = judge_to(&plan, &trace, ENDS);
    let figures = &verdict.figures;
    assert_eq!((figures.requests, figures.retries, figures.attempts, figures.unreached), (3, 1, 3, 1));
    assert_eq!(
        (figures.answers.up, figures.answers.busy, figures.answers.failed, figures.answers.unanswered),
        (1, 2, 0, 0)
    );
    let message = figures.latencies[1].message;
    assert_eq!(
        (message.count, message.p50 / 1000, message.p90 / 1000, message.max / 1000),
        (100, 50, 90, 100)
    );
    // No service was requested, so the demand is not reached.
    assert_eq!((verdict.outcome, verdict.missed_demands.len()), (Outcome::Failed, 1));
    let json = simd_json::to_string(&verdict).unwrap();
    for part in [r#""outcome":"failed""#, r#""breaks":{"one-final-answer":1}"#, r#""demand":"service""#] {
        assert!(json.contains(part), "no {part} in {json}");
    }
}
