//! Mutants: nodes with one defect each. A wrapper changes the settings, the events or the actions of the
//! decision module. The checker must detect the invariant that the defect breaks.

use crate::checker::Invariant;
use cottonnotch_decision::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutant {
    DropsAnswers,
    AnswersTwice,
    IgnoresWakeUp,
    SendsTwice,
    MakesExtraAttempt,
    TreatsErrorsAsRejections,
    IgnoresIdempotencyWindow,
    IgnoresIdempotencyScope,
    IgnoresWriteDeadline,
    RejectsInsteadOfFailing,
    IgnoresDraining,
    IgnoresRules,
    IgnoresClosedClients,
    IgnoresShutdown,
    QueuesAtShutdown,
}

pub const ALL: [(Mutant, Invariant); 15] = [
    (Mutant::DropsAnswers, Invariant::Answered),
    (Mutant::AnswersTwice, Invariant::Answered),
    (Mutant::IgnoresWakeUp, Invariant::Answered),
    (Mutant::SendsTwice, Invariant::OneAttemptInFlight),
    (Mutant::MakesExtraAttempt, Invariant::Attempts),
    (Mutant::TreatsErrorsAsRejections, Invariant::AtMostOneEffect),
    (Mutant::IgnoresIdempotencyWindow, Invariant::AtMostOneEffect),
    (Mutant::IgnoresIdempotencyScope, Invariant::AtMostOneEffect),
    (Mutant::IgnoresWriteDeadline, Invariant::AtMostOneEffect),
    (Mutant::RejectsInsteadOfFailing, Invariant::AtMostOneEffect),
    (Mutant::IgnoresDraining, Invariant::Draining),
    (Mutant::IgnoresRules, Invariant::CompliesWithRules),
    (Mutant::IgnoresClosedClients, Invariant::ClientClosed),
    (Mutant::IgnoresShutdown, Invariant::ShuttingDown),
    (Mutant::QueuesAtShutdown, Invariant::ShuttingDown),
];

impl Mutant {
    /// Returns the settings that the mutant passes to the module.
    pub fn settings(self, mut settings: Settings) -> Settings {
        for class in &mut settings.classes {
            match (self, &mut class.idempotency) {
                (Mutant::MakesExtraAttempt, _) => class.attempts += 1,
                (Mutant::IgnoresIdempotencyWindow, Idempotency::Keyed { window, .. }) => {
                    *window = i64::MAX / 4
                }
                (Mutant::IgnoresIdempotencyScope, Idempotency::Keyed { scope, .. }) => *scope = Scope::All,
                _ => {}
            }
        }
        settings
    }

    /// Returns the event that the mutant passes to the module; `None` if it drops the event.
    pub fn event(self, event: Event) -> Option<Event> {
        match (self, event) {
            (Mutant::IgnoresClosedClients, Event::ClientClosed(_)) => None,
            (Mutant::IgnoresClosedClients, Event::Ended { request, attempt, server, outcome, .. }) => {
                Some(Event::Ended { request, attempt, server, outcome, last: false })
            }
            (Mutant::IgnoresShutdown | Mutant::QueuesAtShutdown, Event::ShuttingDown) => None,
            (Mutant::IgnoresDraining, Event::List { full: false, copy, mut entries }) => {
                entries.iter_mut().for_each(|entry| entry.state = ServerState::Ready);
                Some(Event::List { full: false, copy, entries })
            }
            (
                Mutant::TreatsErrorsAsRejections,
                Event::Ended { request, attempt, server, outcome: Outcome::Error, last },
            ) => Some(Event::Ended { request, attempt, server, outcome: Outcome::Full, last }),
            (_, event) => Some(event),
        }
    }

    /// Returns the actions that the mutant takes instead of the module's. `shutting_down` is true after the
    /// start of the shutdown.
    pub fn actions(self, shutting_down: bool, actions: Vec<Action>) -> Vec<Action> {
        let mut altered = Vec::new();
        for action in actions {
            let is_answer = matches!(action, Action::Reject { .. } | Action::Fail { .. });
            match (self, action) {
                (Mutant::DropsAnswers, _) if is_answer => {}
                (Mutant::AnswersTwice, answer) if is_answer => altered.extend([answer.clone(), answer]),
                (Mutant::IgnoresWakeUp, Action::Timer { token: 0, .. }) => {}
                (Mutant::QueuesAtShutdown, Action::Send { .. }) if shutting_down => {}
                (Mutant::SendsTwice, send @ Action::Send { .. }) => altered.extend([send.clone(), send]),
                (Mutant::IgnoresWriteDeadline, Action::Send { request, server, timeout, .. }) => {
                    altered.push(Action::Send { request, server, timeout, before: None });
                }
                (Mutant::RejectsInsteadOfFailing, Action::Fail { request, reason }) => {
                    altered.push(Action::Reject { request, retry_after: 0, reason });
                }
                (_, action) => altered.push(action),
            }
        }
        altered
    }
}
