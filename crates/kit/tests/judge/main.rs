//! Tests of the judge: scripted traces for each rule, generated healthy runs with one injected fault, and figures
//! against a plain oracle.

mod figures;
mod fixtures;
mod model;
mod rules;
mod throughput;
