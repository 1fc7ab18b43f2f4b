//! The stand-in for a target as a program, controlled over `/admin/`.

use std::path::PathBuf;

use eyre::{Result, WrapErr};
use gumdrop::Options;
use hornbeamhitch_standins::target::{TargetConfig, TargetStandin};
use hornbeamhitch_standins::{logging, program};
use log::LevelFilter;

#[derive(Debug, Options)]
struct TargetOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the configuration", meta = "FILE")]
    config: Option<PathBuf>,
    #[options(help = "address to listen on, overrides the file", meta = "ADDR")]
    addr: Option<String>,
    #[options(help = "name, overrides the file", meta = "NAME")]
    name: Option<String>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = TargetOptions::parse_args_default_or_exit();
    logging::start(LevelFilter::Info)?;
    let mut config = match &options.config {
        Some(path) => program::read_json_file(path)?,
        None => TargetConfig::default(),
    };
    if let Some(addr) = &options.addr {
        config.addr = addr.parse().wrap_err("--addr")?;
    }
    if let Some(name) = options.name {
        config.name = name;
    }
    let target = TargetStandin::start(config).await?;
    program::log_listening_addr(target.addr());
    program::wait_for_shutdown_signal().await?;
    target.stop().await;
    Ok(())
}
