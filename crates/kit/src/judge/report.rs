//! Formats verdicts and statistics as text for the terminal.

use super::figures::Figures;
use super::verdict::{Finding, MissedDemand, Outcome, Verdict};
use std::fmt;

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  {:.6} s", self.at as f64 / 1e6)?;
        if let Some(request) = &self.request {
            write!(f, ", request {request}")?;
        }
        if let Some(session) = self.session {
            write!(f, ", session {session}")?;
        }
        if let Some(rude) = self.rude {
            write!(f, ", misbehaving client {rude}")?;
        }
        if let Some(node) = &self.node {
            write!(f, ", render node {node}")?;
        }
        if let Some(proxy) = &self.proxy {
            write!(f, ", proxy {proxy}")?;
        }
        writeln!(f, ":\n    {}", self.description)?;
        self.surrounding_events.iter().try_for_each(|line| writeln!(f, "      | {line}"))
    }
}

/// Formats a ratio, or a dash if there is none.
struct Ratio(Option<f64>);

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(ratio) => write!(f, "{ratio:.3}"),
            None => f.write_str("-"),
        }
    }
}

impl fmt::Display for Verdict {
    /// Writes the outcome, each violated rule with its first findings, the missed demands and the statistics.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match self.outcome {
            Outcome::Passed => "PASSED",
            Outcome::Failed => "FAILED",
            Outcome::Void => "VOID",
        };
        let judged_to = self.judged_to as f64 / 1e6;
        writeln!(f, "{outcome}  {}, seed {}, judged to {judged_to:.1} s", self.scenario, self.seed)?;
        if let Some(reason) = &self.void {
            writeln!(
                f,
                "{reason}: the run proves nothing; reduce the load of the machine, or rehearse a smaller scenario"
            )?;
        }
        for (rule, count) in &self.violations {
            writeln!(f, "\nBROKEN {rule}, {count} times. {}", rule.requirement())?;
            self.findings
                .iter()
                .filter(|violation| violation.rule == *rule)
                .try_for_each(|violation| violation.fmt(f))?;
        }
        for MissedDemand { demand, demanded, reached } in &self.missed_demands {
            writeln!(
                f,
                "\nNOT REACHED {demand}: {demanded:.3} was demanded, {} was measured",
                Ratio(*reached)
            )?;
        }
        writeln!(f)?;
        self.figures.fmt(f)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_service(f)?;
        self.write_counts(f)?;
        self.write_latencies(f)?;
        self.write_proxies(f)
    }
}

impl Figures {
    fn write_service(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ratios = &self.service.ratios;
        writeln!(
            f,
            "service {}: whole run {}, worst 10 s {} (from {:.0} s), worst class {} ({}), worst tenant {} ({})",
            Ratio(ratios.mix),
            Ratio(ratios.whole),
            Ratio(ratios.worst_window),
            ratios.worst_window_from as f64 / 1e6,
            Ratio(ratios.worst_class),
            ratios.worst_class_name,
            Ratio(ratios.worst_tenant),
            ratios.worst_tenant_name
        )
    }

    fn write_counts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answers = &self.answers;
        writeln!(
            f,
            "requests {} ({} retries): up {}, busy {}, failed {}, unanswered {}; unreached {}; attempts per request {}",
            self.requests,
            self.retries,
            answers.up,
            answers.busy,
            answers.failed,
            answers.unanswered,
            self.unreached,
            Ratio(self.attempts_per_request)
        )?;
        writeln!(f, "moves {}, resets seen by clients {}", self.moves, self.resets)
    }

    fn write_latencies(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for class in &self.latencies {
            for (name, latency) in [("set-up", &class.setup), ("message", &class.message)] {
                let millis = |micros: u64| micros as f64 / 1e3;
                writeln!(
                    f,
                    "{} {name} ms: median {:.1}, 90% {:.1}, 99% {:.1}, max {:.1} ({} samples)",
                    class.class,
                    millis(latency.p50),
                    millis(latency.p90),
                    millis(latency.p99),
                    millis(latency.max),
                    latency.count
                )?;
            }
        }
        Ok(())
    }

    fn write_proxies(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for proxy in &self.proxies {
            writeln!(
                f,
                "proxy {}: requests {}, datagrams {}, {} bytes, at most {} bytes in a second",
                proxy.proxy, proxy.requests, proxy.datagrams, proxy.bytes, proxy.most_bytes_in_a_second
            )?;
        }
        Ok(())
    }
}
