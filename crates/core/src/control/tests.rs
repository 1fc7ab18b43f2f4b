//! Tests of the control state machine: failures, measurements and properties.

mod configuration;
mod figures;
mod harness;
mod membership;
mod properties;
