//! Tests of the judge: scripted traces for each rule, generated healthy runs with one injected fault, and figures
//! against a plain oracle.
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
