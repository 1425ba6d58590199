//! The faults that the proxy can be started with.

use clap::ValueEnum;
use std::fmt;
use std::str::FromStr;

/// A fault: it breaks one rule. Its name on the command line is the variant's name in kebab-case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Answers `UP`, and also `BUSY` 300 ms later
    AnswersTwice,
    /// Accepts a request, never answers it, and closes 500 ms after the client's deadline
    NoAnswer,
    /// Closes the connection without an answer
    DropsRequest,
    /// Answers `UP` with an invented receipt, and echoes lines as a render node would
    InventedUp,
    /// Keeps a second attempt of a request open for 400 ms, in parallel with the first
    SecondAttempt,
    /// Sends new requests to a draining render node from 1.2 s after it was listed as draining
    SendsToDrained,
    /// Sends all requests to a render node that has just started, until it is warm
    FloodsCold,
    /// Closes a client's connection without `MOVE` 1 s after it came up
    CutsWithoutMove,
    /// Delays a client's line by 1.5 s
    HoldsLine,
    /// Ends the client's connection only 3 s after the render node's connection ended
    KeepsEnded,
    /// Never moves the clients of a render node that hangs
    KeepsSilent,
    /// Changes a value in the first line
    BadFirstLine,
    /// Neither answers nor closes misbehaving clients
    IgnoresRude,
    /// Answers invalid first lines with an `UP` of its own
    ServesRude,
    /// Exits with code 3, 6 s after its first request
    Crashes,
    /// Ignores SIGTERM
    Stays,
    /// Makes one attempt more than is allowed
    TooManyAttempts,
    /// Sends a peer a datagram of 300 bytes
    BigDatagram,
}

/// The error for a name that no fault has.
#[derive(Debug, thiserror::Error)]
#[error("unknown fault '{0}'")]
pub struct UnknownFault(String);

impl Fault {
    /// All faults, in the order of their definition.
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

    /// The one-line description that the command line's help shows.
    pub fn description(self) -> String {
        self.to_possible_value().and_then(|v| v.get_help().map(ToString::to_string)).unwrap_or_default()
    }

    /// The fault affects one request in this many, so that the remaining requests keep the run going. The value is
    /// 1 for faults that need a rare condition: a render node that drains, dies, hangs or is cold.
    pub(super) fn request_interval(self) -> u32 {
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
    fn all_faults_are_listed_and_parse_from_their_names() {
        assert_eq!(Fault::ALL, Fault::value_variants());
        for fault in Fault::ALL {
            assert_eq!(fault.to_string().parse::<Fault>().unwrap(), fault);
            assert!(!fault.description().is_empty(), "{fault}");
        }
        assert_eq!(Fault::CutsWithoutMove.to_string(), "cuts-without-move");
        assert!("cuts".parse::<Fault>().is_err());
    }
}
