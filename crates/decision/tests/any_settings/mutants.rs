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
    TakesErrorsForRejections,
    ForgetsTheWindow,
    ForgetsTheScope,
    IgnoresWriteDeadline,
    RejectsWhatFailed,
    MissesDrains,
    MissesVerdicts,
    MissesClosedClients,
    MissesShutdown,
    QueuesAtShutdown,
}

pub const ALL: [(Mutant, Invariant); 15] = [
    (Mutant::DropsAnswers, Invariant::Answered),
    (Mutant::AnswersTwice, Invariant::Answered),
    (Mutant::IgnoresWakeUp, Invariant::Answered),
    (Mutant::SendsTwice, Invariant::OneOut),
    (Mutant::MakesExtraAttempt, Invariant::Attempts),
    (Mutant::TakesErrorsForRejections, Invariant::NoEffectTwice),
    (Mutant::ForgetsTheWindow, Invariant::NoEffectTwice),
    (Mutant::ForgetsTheScope, Invariant::NoEffectTwice),
    (Mutant::IgnoresWriteDeadline, Invariant::NoEffectTwice),
    (Mutant::RejectsWhatFailed, Invariant::NoEffectTwice),
    (Mutant::MissesDrains, Invariant::Draining),
    (Mutant::MissesVerdicts, Invariant::RulesObeyed),
    (Mutant::MissesClosedClients, Invariant::ClientClosed),
    (Mutant::MissesShutdown, Invariant::ShuttingDown),
    (Mutant::QueuesAtShutdown, Invariant::ShuttingDown),
];

impl Mutant {
    /// Returns the settings that the mutant passes to the module.
    pub fn settings(self, mut settings: Settings) -> Settings {
        for class in &mut settings.classes {
            match (self, &mut class.idempotency) {
                (Mutant::MakesExtraAttempt, _) => class.attempts += 1,
                (Mutant::ForgetsTheWindow, Idempotency::Keyed { window, .. }) => *window = i64::MAX / 4,
                (Mutant::ForgetsTheScope, Idempotency::Keyed { scope, .. }) => *scope = Scope::All,
                _ => {}
            }
        }
        settings
    }

    /// Returns the event that the mutant passes to the module; `None` if it drops the event.
    pub fn event(self, event: Event) -> Option<Event> {
        match (self, event) {
            (Mutant::MissesClosedClients, Event::ClientClosed(_)) => None,
            (Mutant::MissesClosedClients, Event::Ended { request, attempt, server, outcome, .. }) => {
                Some(Event::Ended { request, attempt, server, outcome, last: false })
            }
            (Mutant::MissesShutdown | Mutant::QueuesAtShutdown, Event::ShuttingDown) => None,
            (Mutant::MissesDrains, Event::List { full: false, copy, mut entries }) => {
                entries.iter_mut().for_each(|entry| entry.state = ServerState::Ready);
                Some(Event::List { full: false, copy, entries })
            }
            (
                Mutant::TakesErrorsForRejections,
                Event::Ended { request, attempt, server, outcome: Outcome::Error, last },
            ) => Some(Event::Ended { request, attempt, server, outcome: Outcome::Full, last }),
            (_, event) => Some(event),
        }
    }

    /// Returns the actions that the mutant takes instead of the module's. `ends` is true after the start of
    /// the shutdown.
    pub fn actions(self, ends: bool, actions: Vec<Action>) -> Vec<Action> {
        let mut done = Vec::new();
        for action in actions {
            let is_answer = matches!(action, Action::Reject { .. } | Action::Fail { .. });
            match (self, action) {
                (Mutant::DropsAnswers, _) if is_answer => {}
                (Mutant::AnswersTwice, answer) if is_answer => done.extend([answer.clone(), answer]),
                (Mutant::IgnoresWakeUp, Action::Timer { token: 0, .. }) => {}
                (Mutant::QueuesAtShutdown, Action::Send { .. }) if ends => {}
                (Mutant::SendsTwice, send @ Action::Send { .. }) => done.extend([send.clone(), send]),
                (Mutant::IgnoresWriteDeadline, Action::Send { request, server, timeout, .. }) => {
                    done.push(Action::Send { request, server, timeout, before: None });
                }
                (Mutant::RejectsWhatFailed, Action::Fail { request, reason }) => {
                    done.push(Action::Reject { request, retry_after: 0, reason });
                }
                (_, action) => done.push(action),
            }
        }
        done
    }
}
