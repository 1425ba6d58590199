//! The judge of a run: sans-io and deterministic. Its input is the plan and the observations of the emulated clients,
//! render nodes and discovery, in order of time. It uses neither a proxy's own output nor a clock. See
//! `docs/design/judge.md`.

mod answers;
mod attempts;
mod connections;
mod deferred_checks;
mod figures;
mod incarnation;
mod latency;
mod lateness;
mod lines_in_transit;
mod list_knowledge;
mod misbehaving_clients;
mod node_states;
mod processes;
mod report;
mod request_table;
mod rule;
mod rule_output;
mod service;
mod slow_start;
mod subject;
mod units;
mod verdict;

pub use figures::{Answers, Figures, ProxyFigures, Second};
pub use latency::{Latencies, Latency};
pub use lateness::Lateness;
pub use rule::Rule;
pub use service::{Ratios, Service};
pub use verdict::{Finding, MissedDemand, Outcome, Verdict};

use crate::observation::{Observation, Seen};
use crate::plan::Plan;
use crate::time::Micros;
use attempts::Arrival;
use deferred_checks::DeferredCheck;
use figures::FigureCounters;
use list_knowledge::ListKnowledge;
use misbehaving_clients::MisbehavingClients;
use node_states::{NodeStates, ProcessChanged};
use processes::ProxyProcesses;
use request_table::{RequestTable, RuleContext, Submission};
use rule_output::RuleOutput;
use slow_start::WarmingNodes;
use std::sync::Arc;
use subject::MAX_DATAGRAM_BYTES;

/// Checks the observations of one run against the rules, and collects the run's statistics.
#[derive(Debug)]
pub struct Judge {
    plan: Arc<Plan>,
    node_states: NodeStates,
    processes: ProxyProcesses,
    list_knowledge: ListKnowledge,
    warming_nodes: WarmingNodes,
    misbehaving_clients: MisbehavingClients,
    table: RequestTable,
    counters: FigureCounters,
    lateness: Lateness,
    output: RuleOutput,
    now: Micros,
}

impl Judge {
    /// Creates a judge for a run of this plan that starts at time 0.
    pub fn new(plan: Arc<Plan>) -> Self {
        let (nodes, proxies) = (plan.nodes.len(), plan.proxies.len());
        Judge {
            node_states: NodeStates::new(nodes),
            processes: ProxyProcesses::new(proxies, &plan.rules),
            list_knowledge: ListKnowledge::new(nodes, proxies, &plan.rules),
            warming_nodes: WarmingNodes::new(nodes, &plan.rules),
            misbehaving_clients: MisbehavingClients::new(&plan),
            table: RequestTable::new(nodes),
            counters: FigureCounters::new(&plan),
            lateness: Lateness::default(),
            output: RuleOutput::default(),
            now: 0,
            plan,
        }
    }

    /// Processes the next observation. An observation with an earlier time than the previous one is processed at the
    /// previous one's time. Observations after the end of the plan are ignored.
    pub fn observe(&mut self, observation: &Observation) {
        if observation.at > self.plan.ends {
            return;
        }
        if let Seen::Lag { late } = observation.seen {
            return self.lateness.observe(late);
        }
        let at = observation.at.max(self.now);
        self.advance(at);
        self.output.record_observation(observation);
        self.counters.observe(at, &observation.seen);
        self.list_knowledge.observe(at, &observation.seen);
        self.processes.observe(at, &observation.seen, &mut self.output);
        self.misbehaving_clients.observe(at, &observation.seen, &mut self.output);
        self.warming_nodes.observe(at, &observation.seen, &mut self.list_knowledge, &mut self.output);
        if let Seen::Answered { request, answer } = &observation.seen
            && let Some(submission) = self.table.unanswered(*request)
        {
            self.counters.record_answer(submission.session, answer);
        }
        let process_changed = self.node_states.observe(at, &observation.seen);
        self.apply(at, &observation.seen, process_changed);
    }

    /// Ends the run at `now`, as planned or earlier, and judges the obligations that were due by then.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let end = now.min(self.plan.ends).max(self.now);
        self.advance(end);
        let (table, mut context, _) = self.split();
        table.finish(end, &mut context);
        let figures = self.counters.finish(end);
        Verdict::new(&self.plan, end, self.lateness, self.output, figures)
    }

    /// Runs the checks that are due before `to`.
    fn advance(&mut self, to: Micros) {
        self.now = to;
        while let Some((due, check)) = self.output.checks.next_before(to) {
            self.run_check(due, check);
        }
    }

    /// Borrows the request table and the state that its rules need separately.
    fn split(&mut self) -> (&mut RequestTable, RuleContext<'_>, &mut ListKnowledge) {
        let context = RuleContext {
            rules: &self.plan.rules,
            node_states: &self.node_states,
            processes: &self.processes,
            misbehaving_clients: &mut self.misbehaving_clients,
            output: &mut self.output,
        };
        (&mut self.table, context, &mut self.list_knowledge)
    }

    /// Applies the observation to the request table.
    fn apply(&mut self, at: Micros, seen: &Seen, process_changed: Option<ProcessChanged>) {
        let (table, mut context, list_knowledge) = self.split();
        let context = &mut context;
        if let Some(ProcessChanged(node)) = process_changed {
            table.process_changed(at, node, context);
        }
        match seen {
            Seen::Asked { request, session, proxy, deadline } => {
                let incarnation = context.processes.current(*proxy);
                table.record_submission(
                    *request,
                    Submission { at, session: *session, incarnation, deadline: *deadline },
                );
            }
            Seen::Answered { request, answer } => table.record_answer(at, *request, answer, context),
            Seen::Moved { request } => table.record_move(at, *request, context),
            Seen::Ended { request, how } => table.record_proxy_close(at, *request, *how, context),
            Seen::Left { request, why } => table.record_client_close(at, *request, *why, context),
            Seen::LineSent { request, line } => table.record_line_sent(at, *request, *line, context),
            Seen::LineBack { request, line } => table.record_line_back(*request, *line),
            Seen::Attempt { attempt, request, session, proxy, first_byte } => {
                let arrival = Arrival {
                    attempt: *attempt,
                    request: *request,
                    session: *session,
                    proxy: *proxy,
                    first_byte: *first_byte,
                };
                table.record_attempt(at, arrival, list_knowledge, context);
            }
            Seen::AttemptAnswered { attempt, answer } => {
                table.record_attempt_answer(at, *attempt, *answer, context)
            }
            Seen::AttemptOver { attempt, over } => table.record_attempt_end(at, *attempt, *over, context),
            Seen::LineAtNode { attempt, line } => table.record_line_at_node(*attempt, *line),
            Seen::LineReturned { attempt, line } => table.record_line_returned(at, *attempt, *line, context),
            Seen::BadFirstLine { node, proxy, line } => {
                context.output.report_bad_first_line(at, *node, *proxy, line)
            }
            Seen::Garbled { request, line } => context.output.report_changed_line(at, *request, line),
            Seen::Datagram { from, to, bytes } if *bytes > MAX_DATAGRAM_BYTES => {
                context.output.report_oversized_datagram(at, *from, *to, *bytes);
            }
            _ => {}
        }
    }

    /// Runs a deferred check that is due at `at`.
    fn run_check(&mut self, at: Micros, check: DeferredCheck) {
        match check {
            DeferredCheck::MisbehavingClient(client) => {
                return self.misbehaving_clients.check_deadline(at, client, &mut self.output);
            }
            DeferredCheck::ShutdownDeadline(incarnation) => {
                return self.processes.check_shutdown(at, incarnation, &mut self.output);
            }
            _ => {}
        }
        let (table, mut context, _) = self.split();
        let context = &mut context;
        match check {
            DeferredCheck::Receipt(id) => table.check_receipt(at, id, context),
            DeferredCheck::LateAnswer(id) => table.check_late_answer(at, id, context),
            DeferredCheck::MissingAnswer(id) => table.check_missing_answer(at, id, context),
            DeferredCheck::OverlappingAttempts(id, index) => table.check_overlap(at, id, index, context),
            DeferredCheck::UnknownRequest(id, attempt, proxy, since) => {
                table.check_unknown_request(at, (id, attempt, proxy, since), context);
            }
            DeferredCheck::CutConnection(id) => table.check_cut(at, id, context),
            DeferredCheck::LineToNode(id, line) => table.check_line_to_node(at, id, line, context),
            DeferredCheck::LineToClient(id, line) => table.check_line_to_client(at, id, line, context),
            DeferredCheck::EndedConnection(id) => table.check_ended(at, id, context),
            DeferredCheck::SilentConnection(id, line) => table.check_silent(at, id, line, context),
            DeferredCheck::ForgetRequest(id) => table.forget(id),
            DeferredCheck::MisbehavingClient(_) | DeferredCheck::ShutdownDeadline(_) => {}
        }
    }
}
