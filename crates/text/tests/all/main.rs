//! Tests of the configuration text through the public API of the crate.

mod differences;
mod documentation;
mod examples;
mod explanations;
mod faults;
mod hostile;
mod properties;
mod routes;
mod support;
mod warnings;
