//! Tests that run the real programs as processes against in-process stand-ins.

mod at_most_once;
mod command_line;
mod configuration;
mod crash_request;
mod deployments;
mod frozen_peer;
mod leaving;
mod measuring;
mod not_run;
mod plot;
mod routed;
mod shutdown;
mod support;
mod thin_path;
mod trace;
mod uploads;
mod whole_answers;
