//! Loaded into a process under test by `LD_PRELOAD`: stands in front of the C library's calls and makes them fail, or do only a part,
//! in ways that Linux documents. What fails is set in a control file (`cottonnotch_shim_control`); without one nothing is changed.
//!
//! Only tests load it, and no crate of the product depends on it. It is the one place where code may be unsafe.

mod control;
mod files;
mod real;
mod sockets;
mod time;
