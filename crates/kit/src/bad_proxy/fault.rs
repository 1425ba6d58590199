//! What can be wrong with the proxy.

use clap::ValueEnum;
use std::fmt;
use std::str::FromStr;

/// A fault: one rule that is broken. Its name on the command line is the kebab-case of the variant's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Answers `UP`, and 300 ms later `BUSY` as well
    AnswersTwice,
    /// Takes a request, never answers it, and closes 500 ms after the client's time is up
    NoAnswer,
    /// Closes without a word
    DropsRequest,
    /// Answers `UP` with a receipt of its own, and echoes lines so that it looks alive
    InventedUp,
    /// Has a second attempt of a request out beside the first for 400 ms
    SecondAttempt,
    /// Sends new requests to a draining render node from 1.2 s after it was told
    SendsToDrained,
    /// Sends everything to a render node that has just started, until it is warm
    FloodsCold,
    /// Closes a client without `MOVE` a second after it came up
    CutsWithoutMove,
    /// Holds a client's line back for 1.5 s
    HoldsLine,
    /// Ends a client's side only 3 s after the render node ended
    KeepsEnded,
    /// Never moves the clients of a render node that hangs
    KeepsSilent,
    /// Changes a figure of the first line
    BadFirstLine,
    /// Neither answers nor closes rude clients
    IgnoresRude,
    /// Answers rubbish with an `UP` of its own
    ServesRude,
    /// Exits with code 3, 6 s after its first request
    Crashes,
    /// Ignores SIGTERM
    Stays,
    /// Makes one attempt more than is allowed
    TooManyAttempts,
    /// Sends a peer 300 bytes in one datagram
    BigDatagram,
}

/// No fault has this name.
#[derive(Debug, thiserror::Error)]
#[error("no fault is called '{0}'")]
pub struct UnknownFault(String);

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 18] = [
        Fault::AnswersTwice,
        Fault::NoAnswer,
        Fault::DropsRequest,
        Fault::InventedUp,
        Fault::SecondAttempt,
        Fault::SendsToDrained,
        Fault::FloodsCold,
        Fault::CutsWithoutMove,
        Fault::HoldsLine,
        Fault::KeepsEnded,
        Fault::KeepsSilent,
        Fault::BadFirstLine,
        Fault::IgnoresRude,
        Fault::ServesRude,
        Fault::Crashes,
        Fault::Stays,
        Fault::TooManyAttempts,
        Fault::BigDatagram,
    ];

    /// What it does, in one line.
    pub fn meaning(self) -> String {
        self.to_possible_value().and_then(|v| v.get_help().map(ToString::to_string)).unwrap_or_default()
    }

    /// It strikes each request of this number, so that the run goes on; 1 where what it needs (a render node that
    /// drains, dies, hangs or is cold) is rare enough.
    pub(super) fn every(self) -> u32 {
        match self {
            Fault::SendsToDrained | Fault::FloodsCold | Fault::KeepsEnded | Fault::KeepsSilent => 1,
            _ => 5,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.to_possible_value();
        f.write_str(value.as_ref().map_or("", |value| value.get_name()))
    }
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        <Fault as ValueEnum>::from_str(name, false).map_err(|_| UnknownFault(name.to_owned()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_are_listed_and_found_by_their_names() {
        assert_eq!(Fault::ALL, Fault::value_variants());
        for fault in Fault::ALL {
            assert_eq!(fault.to_string().parse::<Fault>().unwrap(), fault);
            assert!(!fault.meaning().is_empty(), "{fault}");
        }
        assert_eq!(Fault::CutsWithoutMove.to_string(), "cuts-without-move");
        assert!("cuts".parse::<Fault>().is_err());
    }
}
