//! The program `hornbeamhitch-routed`: a routed node on the native platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::Options;
use hornbeamhitch_dispatch::gate::warm_up::WarmUpTolerance;
use hornbeamhitch_dispatch::overload::OverloadParts;
use hornbeamhitch_dispatch::overload::retry_budget::RetryLimit;
use hornbeamhitch_dispatch::resources::limits::{ORDINARY_REQUEST_BYTES, ResourceLimits};
use hornbeamhitch_dispatch::routing::regions::Regions;
use hornbeamhitch_edge::config::{EdgeConfig, Tunables};
use hornbeamhitch_edge::daemon::{self, Deployment};
use hornbeamhitch_node::logs;
use hornbeamhitch_node::options::ExitStatus;
use hornbeamhitch_node::platform::PlatformReader;
use hornbeamhitch_node::settings::Config;
use hornbeamhitch_types::prelude::*;

use crate::dialect::NativeDialect;
use crate::source::NativeSource;

#[cfg(test)]
mod tests;

/// Path of the readiness endpoint. `hornbeamhitch-node` uses the same path.
const READINESS_PATH: &str = "/v1/ready";
/// Time within which a change of the text or the VM list is in force. Callers that are
/// notified of a change wait about as long.
const IN_FORCE_MS: Millis = Millis(2_000);
/// Retry budget of a service over all entries: extra arrivals up to a fifth of its
/// requests, which is the usual ratio, plus a fixed number for services with few
/// requests.
const RETRY_LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 64.0,
    window_ms: Millis(10_000),
};

/// Smallest account for what the node holds for its peers: 256 requests at once.
const MIN_ACCOUNT_BYTES: u64 = 256 * ORDINARY_REQUEST_BYTES;

/// Runs a node that routes calls by host and path.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this text.
    #[options(help = "print this help")]
    help: bool,
    /// The settings file.
    #[options(
        no_short,
        required,
        help = "read the settings from FILE",
        meta = "FILE"
    )]
    settings: PathBuf,
    /// Checks the settings and ends.
    #[options(no_short, help = "check the settings, print all faults, and exit")]
    check: bool,
}

/// Parses the command line and runs the node until it ends.
#[must_use]
pub fn run() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let config = match Config::load(&arguments.settings) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitStatus::SettingsFaults.into();
        }
    };
    if arguments.check {
        let path = arguments.settings.display();
        println!("{path}: good, VM {} of {}", config.vm, config.service);
        return ExitCode::SUCCESS;
    }
    match logs::start(&config.log, &config.vm) {
        Ok(log) => daemon::run_to_exit(deployment(&config, &arguments.settings), &log),
        Err(error) => {
            eprintln!("the log cannot be started: {error}");
            ExitStatus::StartFailed.into()
        }
    }
}

fn deployment(config: &Config, path: &Path) -> Deployment {
    let reader = PlatformReader::new(config.platform_address);
    let path = path.to_owned();
    Deployment {
        config: edge_config(config),
        dialect: Arc::new(NativeDialect),
        source: Arc::new(NativeSource::new(reader, config.peer_address.port())),
        reload: Box::new(move || match Config::load(&path) {
            Ok(config) => Some(tunables(&config)),
            Err(faults) => {
                log::error!("changed settings are not used: {faults}");
                None
            }
        }),
    }
}

fn tunables(config: &Config) -> Tunables {
    Tunables {
        retry_limit: RETRY_LIMIT,
        // No service of the configuration text has a warm-up.
        warm_up_tolerance: WarmUpTolerance::NONE,
        overload_off: overload_off(config),
    }
}

/// Returns the parts of overload control that the settings switch off.
fn overload_off(config: &Config) -> OverloadParts {
    let parts = OverloadParts::parse(&config.overload_off.join(","));
    parts.expect("the settings are checked for the names of parts")
}

fn edge_config(config: &Config) -> EdgeConfig {
    EdgeConfig {
        vm: config.vm.clone(),
        service: config.service.clone(),
        data_centre: config.data_centre.clone(),
        regions: Regions::default(),
        // The VM list has the addresses of nodes, not of targets.
        listed_address: config.peer_address,
        callers_address: config.callers_address,
        links_address: config.peer_address,
        readiness_address: config.operators_address,
        readiness_path: READINESS_PATH,
        metrics_address: None,
        target_address: config.target_address,
        resources: ResourceLimits {
            caller_connections: config.limits.max_connections,
            link_connections: config.limits.max_peer_connections,
            ..ResourceLimits::of_account(config.limits.buffered_bodies_bytes.max(MIN_ACCOUNT_BYTES))
        },
        in_force_ms: IN_FORCE_MS,
        grace_ms: config.drain_timeout_ms,
        tunables: tunables(config),
    }
}
