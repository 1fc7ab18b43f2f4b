//! Runs a node inside this program until Ctrl-C is pressed.
//!
//!     cargo run -p hornbeamhitch --example embed -- node.json

use std::path::PathBuf;

use hornbeamhitch::{Config, Node, Result};

fn main() -> Result<()> {
    let path = std::env::args_os().nth(1).map(PathBuf::from);
    let path = path.ok_or_else(|| eyre::eyre!("usage: embed SETTINGS"))?;
    let config = Config::load(&path)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(config))
}

async fn serve(config: Config) -> Result<()> {
    let node = Node::start(config)?;
    tokio::signal::ctrl_c().await?;
    println!("draining; the node was ready: {}", node.is_ready());
    println!("{:?}", node.drain().await);
    Ok(())
}
