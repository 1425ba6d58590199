//! Call attempts that end: late, in an unknown state, or in the middle of an answer.
