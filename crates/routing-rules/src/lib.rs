//! Rules that houses and their teams own, merged into one book, sans-io: a pure function of a set of files, a ledger and a
//! world, with no files read, no sockets, no clocks and no chance.
//!
//! The invariants: the book is the same whatever the order of the files; a must of a namespace holds for every namespace
//! below it; a file that can't be taken holds back its own namespace and changes nothing else; rules that conflict are
//! found here, each with a witness, and never met at run time. `docs/design/rulebook.md` says why it is built so.

mod book;
mod cache;
mod candidate;
mod check;
mod checked;
mod compiled;
mod conflict;
mod effective;
mod file;
mod groups;
mod idle;
mod ledger;
mod mask;
mod merge;
mod outcome;
mod pass;
mod raw;
mod scope;
mod state;
mod world;
mod youngest;

pub use book::{
    Book, GroupRange, How, Kind, Node, OnDoubt, Owner, Request, Rule, Selector, Strength, When, is_meant,
};
pub use conflict::{Conflict, Spot, Witness};
pub use effective::{Effective, effective, stricter};
pub use file::{
    BadFile, Delegate, File, MOST_BYTES, MOST_DEPTH, MOST_ITEMS, MOST_NAME, NamespaceFile, Stated, read,
};
pub use ledger::{Entry, Good, Ledger};
pub use merge::{Merged, Merger, check, merge};
pub use state::{Event, Name, State};
pub use world::World;
