//! Statistics of a run: service, answers, moves, latencies and datagrams.

use super::latency::{Histograms, Latencies};
use super::service::{Service, ServiceSums};
use crate::observation::{Answer, ProxyClose, Seen};
use crate::plan::{Plan, SessionId};
use crate::time::Micros;
use serde::Serialize;
use std::collections::VecDeque;

/// Number of answers to requests, by kind. Only the first answer of a request counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Answers {
    /// Answers `UP`.
    pub up: u64,
    /// Answers `BUSY`.
    pub busy: u64,
    /// Any other answer line.
    pub failed: u64,
    /// Requests that ended without an answer, or still wait for one at the end of the run.
    pub unanswered: u64,
}

/// Statistics of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProxyFigures {
    /// Name of the proxy.
    pub proxy: String,
    /// Requests that clients sent to the proxy.
    pub requests: u64,
    /// Datagrams that the proxy sent, counted once for each receiver.
    pub datagrams: u64,
    /// Bytes of these datagrams.
    pub bytes: u64,
    /// Largest number of datagram bytes in any one second.
    pub most_bytes_in_a_second: u64,
    /// Datagrams of the last second: time and bytes.
    #[serde(skip)]
    recent: VecDeque<(Micros, u64)>,
    /// Sum of the bytes in `recent`.
    #[serde(skip)]
    recent_bytes: u64,
}

impl ProxyFigures {
    fn record_datagram(&mut self, at: Micros, bytes: u64) {
        self.datagrams += 1;
        self.bytes += bytes;
        self.recent.push_back((at, bytes));
        self.recent_bytes += bytes;
        while self.recent.front().is_some_and(|(then, _)| *then <= at - crate::time::S) {
            self.recent_bytes -= self.recent.pop_front().map_or(0, |(_, old)| old);
        }
        self.most_bytes_in_a_second = self.most_bytes_in_a_second.max(self.recent_bytes);
    }
}

/// Service in one second of the measured part, for plots, in weighted connection seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Start of the second.
    pub from: Micros,
    /// Connection seconds that sessions requested.
    pub wanted: f64,
    /// Connection seconds that were well served.
    pub well: f64,
}

/// Statistics of a run. Counts cover the whole run; service and latencies cover its measured part.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Service in each second, and the service ratios.
    pub service: Service,
    /// Requests that clients sent to proxies.
    pub requests: u64,
    /// Answers by kind.
    pub answers: Answers,
    /// Requests of a session whose previous request got no `UP`.
    pub retries: u64,
    /// Attempts at render nodes.
    pub attempts: u64,
    /// Mean number of attempts for each request; `None` if there were no requests.
    pub attempts_per_request: Option<f64>,
    /// `MOVE` lines that clients read.
    pub moves: u64,
    /// Connections that clients saw reset.
    pub resets: u64,
    /// Client connection attempts that reached no proxy.
    pub unreached: u64,
    /// Set-up and message latency by class.
    pub latencies: Vec<Latencies>,
    /// Statistics of each proxy.
    pub proxies: Vec<ProxyFigures>,
    /// Start of the measured part.
    pub measured_from: Micros,
}

impl Figures {
    /// Service in each second of the measured part, for plots.
    pub fn service_by_second(&self) -> impl Iterator<Item = Second> + '_ {
        let seconds = self.service.wanted.iter().zip(&self.service.well).enumerate();
        seconds.map(|(i, (wanted, well))| Second {
            from: self.measured_from + i as Micros * crate::time::S,
            wanted: *wanted,
            well: *well,
        })
    }
}

/// State of a session's latest request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LatestRequest {
    /// The session has sent no request.
    #[default]
    None,
    /// The request has not been answered `UP`.
    Open,
    /// The request was answered `UP`.
    Up,
}

/// Collects the statistics while the run proceeds.
#[derive(Debug)]
pub(super) struct FigureCounters {
    plan: std::sync::Arc<Plan>,
    service_sums: ServiceSums,
    setups: Histograms,
    messages: Histograms,
    latest: Vec<LatestRequest>,
    figures: Figures,
}

impl FigureCounters {
    pub fn new(plan: &std::sync::Arc<Plan>) -> Self {
        let proxies = plan.proxies.iter();
        let proxies = proxies.map(|p| ProxyFigures { proxy: p.name.clone(), ..ProxyFigures::default() });
        let figures =
            Figures { proxies: proxies.collect(), measured_from: plan.measured_from, ..Figures::default() };
        FigureCounters {
            service_sums: ServiceSums::new(plan),
            setups: Histograms::new(plan.classes.len()),
            messages: Histograms::new(plan.classes.len()),
            latest: vec![LatestRequest::None; plan.sessions.len()],
            figures,
            plan: plan.clone(),
        }
    }

    pub fn observe(&mut self, at: Micros, seen: &Seen) {
        let measured = at >= self.plan.measured_from;
        match *seen {
            Seen::Wanted { session, until, .. } => self.service_sums.record_demand(at, session, until),
            Seen::Served { session, from, well } => self.service_sums.record_span(at, session, from, well),
            Seen::MessageTook { class, took } if measured => self.messages.add(class, took),
            Seen::SetupTook { class, took } if measured => self.setups.add(class, took),
            Seen::Asked { session, proxy, .. } => {
                self.figures.requests += 1;
                if let Some(latest) = self.latest.get_mut(session.0 as usize) {
                    self.figures.retries += u64::from(*latest == LatestRequest::Open);
                    *latest = LatestRequest::Open;
                }
                if let Some(figures) = self.figures.proxies.get_mut(usize::from(proxy.0)) {
                    figures.requests += 1;
                }
            }
            Seen::Unreached { .. } => self.figures.unreached += 1,
            Seen::Moved { .. } => self.figures.moves += 1,
            Seen::Ended { how: ProxyClose::Reset, .. } => self.figures.resets += 1,
            Seen::Attempt { .. } => self.figures.attempts += 1,
            Seen::Datagram { from, bytes, .. } => {
                if let Some(figures) = self.figures.proxies.get_mut(usize::from(from.0)) {
                    figures.record_datagram(at, u64::from(bytes));
                }
            }
            _ => {}
        }
    }

    /// Counts the first answer of a request.
    pub fn record_answer(&mut self, session: SessionId, answer: &Answer) {
        match answer {
            Answer::Up(_) => {
                self.figures.answers.up += 1;
                if let Some(latest) = self.latest.get_mut(session.0 as usize) {
                    *latest = LatestRequest::Up;
                }
            }
            Answer::Busy(_) => self.figures.answers.busy += 1,
            Answer::Failed(_) => self.figures.answers.failed += 1,
        }
    }

    /// Ends the run at `at` and computes the final statistics.
    pub fn finish(self, at: Micros) -> Figures {
        let FigureCounters { plan, service_sums, setups, messages, mut figures, .. } = self;
        let Answers { up, busy, failed, .. } = figures.answers;
        figures.answers.unanswered = figures.requests.saturating_sub(up + busy + failed);
        figures.attempts_per_request =
            (figures.requests > 0).then(|| figures.attempts as f64 / figures.requests as f64);
        figures.service = service_sums.finish(at, &plan);
        let classes = plan.classes.iter().enumerate();
        figures.latencies = classes
            .map(|(i, class)| Latencies {
                class: class.name.clone(),
                setup: setups.latency(i),
                message: messages.latency(i),
            })
            .collect();
        figures
    }
}
