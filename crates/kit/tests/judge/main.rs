//! The judge is proved by breaking what it checks: scripted traces for each rule, a model of healthy runs with one
//! fault put in, and figures against a plain oracle.

mod figures;
mod load;
mod model;
mod rules;
mod stage;
