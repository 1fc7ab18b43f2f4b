//! Tests of the control half: failures, figures, and properties.

mod configuration;
mod figures;
mod harness;
mod membership;
mod properties;
