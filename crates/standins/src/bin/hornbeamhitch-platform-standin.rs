//! The stand-in for the platform as a program, controlled over `/admin/`.

use std::net::SocketAddr;
use std::path::PathBuf;

use eyre::{Result, WrapErr};
use gumdrop::Options;
use hornbeamhitch_standins::platform::{PlatformStandin, VmEntry};
use hornbeamhitch_standins::{logging, program};
use log::LevelFilter;

#[derive(Debug, Options)]
struct PlatformOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0", meta = "ADDR")]
    addr: String,
    #[options(help = "file with the initial configuration text", meta = "FILE")]
    text: Option<PathBuf>,
    #[options(help = "file with the initial VM list, a JSON array", meta = "FILE")]
    vms: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = PlatformOptions::parse_args_default_or_exit();
    logging::start(LevelFilter::Info)?;
    let addr: SocketAddr = options.addr.parse().wrap_err("--addr")?;
    let platform = PlatformStandin::start(addr).await?;
    if let Some(path) = &options.text {
        platform.set_text(&std::fs::read_to_string(path)?)?;
    }
    if let Some(path) = &options.vms {
        platform.set_vms(program::read_json_file::<Vec<VmEntry>>(path)?)?;
    }
    program::log_listening_addr(platform.addr());
    program::wait_for_shutdown_signal().await?;
    platform.stop().await;
    Ok(())
}
