//! Nodes that are wrong in one way each: a wrapper alters what the module hears or does. The judge has to name the rule.

use crate::checker::Rule;
use cottonnotch_decision::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutant {
    SwallowsAnswers,
    AnswersTwice,
    NeverWakes,
    SendsTwice,
    TriesOnce,
    TakesErrorsForRefusals,
    ForgetsTheWindow,
    ForgetsTheGroup,
    WritesAtAnyTime,
    RefusesWhatFailed,
    MissesDrains,
    MissesRulings,
    MissesLeftClients,
    MissesItsOwnEnd,
    HoldsAtItsEnd,
}

pub const ALL: [(Mutant, Rule); 15] = [
    (Mutant::SwallowsAnswers, Rule::Answered),
    (Mutant::AnswersTwice, Rule::Answered),
    (Mutant::NeverWakes, Rule::Answered),
    (Mutant::SendsTwice, Rule::OneOut),
    (Mutant::TriesOnce, Rule::Tries),
    (Mutant::TakesErrorsForRefusals, Rule::NoEffectTwice),
    (Mutant::ForgetsTheWindow, Rule::NoEffectTwice),
    (Mutant::ForgetsTheGroup, Rule::NoEffectTwice),
    (Mutant::WritesAtAnyTime, Rule::NoEffectTwice),
    (Mutant::RefusesWhatFailed, Rule::NoEffectTwice),
    (Mutant::MissesDrains, Rule::Draining),
    (Mutant::MissesRulings, Rule::Ruled),
    (Mutant::MissesLeftClients, Rule::Gone),
    (Mutant::MissesItsOwnEnd, Rule::Leaving),
    (Mutant::HoldsAtItsEnd, Rule::Leaving),
];

impl Mutant {
    /// What it believes the settings to be.
    pub fn settings(self, mut settings: Settings) -> Settings {
        for class in &mut settings.classes {
            match (self, &mut class.idempotency) {
                (Mutant::TriesOnce, _) => class.attempts += 1,
                (Mutant::ForgetsTheWindow, Idempotency::Keyed { window, .. }) => *window = i64::MAX / 4,
                (Mutant::ForgetsTheGroup, Idempotency::Keyed { scope, .. }) => *scope = Scope::All,
                _ => {}
            }
        }
        settings
    }

    /// What it hears of an event.
    pub fn event(self, event: Event) -> Option<Event> {
        match (self, event) {
            (Mutant::MissesLeftClients, Event::ClientClosed(_)) => None,
            (Mutant::MissesLeftClients, Event::Ended { request, attempt, server, outcome, .. }) => {
                Some(Event::Ended { request, attempt, server, outcome, last: false })
            }
            (Mutant::MissesItsOwnEnd | Mutant::HoldsAtItsEnd, Event::ShuttingDown) => None,
            (Mutant::MissesDrains, Event::List { full: false, copy, mut entries }) => {
                entries.iter_mut().for_each(|entry| entry.state = ServerState::Ready);
                Some(Event::List { full: false, copy, entries })
            }
            (
                Mutant::TakesErrorsForRefusals,
                Event::Ended { request, attempt, server, outcome: Outcome::Error, last },
            ) => Some(Event::Ended { request, attempt, server, outcome: Outcome::Full, last }),
            (_, event) => Some(event),
        }
    }

    /// What it does instead; `ends` once the node was told to end.
    pub fn actions(self, ends: bool, actions: Vec<Action>) -> Vec<Action> {
        let mut done = Vec::new();
        for action in actions {
            let is_answer = matches!(action, Action::Reject { .. } | Action::Fail { .. });
            match (self, action) {
                (Mutant::SwallowsAnswers, _) if is_answer => {}
                (Mutant::AnswersTwice, answer) if is_answer => done.extend([answer.clone(), answer]),
                (Mutant::NeverWakes, Action::Timer { token: 0, .. }) => {}
                (Mutant::HoldsAtItsEnd, Action::Send { .. }) if ends => {}
                (Mutant::SendsTwice, send @ Action::Send { .. }) => done.extend([send.clone(), send]),
                (Mutant::WritesAtAnyTime, Action::Send { request, server, timeout, .. }) => {
                    done.push(Action::Send { request, server, timeout, before: None });
                }
                (Mutant::RefusesWhatFailed, Action::Fail { request, reason }) => {
                    done.push(Action::Reject { request, retry_after: 0, reason });
                }
                (_, action) => done.push(action),
            }
        }
        done
    }
}
