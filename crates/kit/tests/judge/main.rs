//! Tests of the judge: scripted traces for each rule, generated fault-free runs with one injected fault, and a
//! comparison of the statistics with a simple oracle.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod figures;
mod fixtures;
mod model;
mod rules;
mod throughput;
