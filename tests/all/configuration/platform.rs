//! Reads of the platform: how many there are, and what its outages hold up.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion};
use hornbeamhitch_types::status::PlatformState;
use tokio::task::JoinSet;

use super::*;
use crate::support::WAIT_TIMEOUT;

/// Nodes of each data centre that read the platform.
const READERS: u64 = 2;

/// Waits until a node that reads the platform says this of it.
async fn wait_platform(deployment: &Deployment, state: PlatformState) -> Result<()> {
    let give_up = Instant::now() + WAIT_TIMEOUT;
    loop {
        for vm in deployment.fleet.names() {
            if deployment.status(&vm).await?.platform.state == state {
                return Ok(());
            }
        }
        ensure!(
            Instant::now() < give_up,
            "no node sees the platform {state}"
        );
    }
}

/// What the platform and the nodes say of reading, for a wait that was in vain.
async fn describe_reads(deployment: &Deployment) -> String {
    let mut lines = format!("{:#?}", deployment.platform.counts());
    for vm in deployment.fleet.names() {
        let said = match deployment.status(&vm).await {
            Ok(status) => format!("{:?}", status.platform),
            Err(error) => format!("{error:#}"),
        };
        lines.push_str(&format!("\n{vm}: {said}"));
    }
    lines
}

/// Reads in a window of edits, once the rota has settled.
async fn count_reads(nodes: usize, edits: u64) -> Result<u64> {
    let deployment = start(nodes).await?;
    let vms = deployment.fleet.names();
    let readers = READERS * DATA_CENTRES.len() as u64;
    // Two watches a reader. At a cold start there are more of them, until the
    // nodes of a data centre have heard of each other.
    let is_settled = |deployment: &Deployment| deployment.platform.counts().waiting == 2 * readers;
    let settled = deployment.wait_until("two readers a data centre", is_settled);
    if let Err(error) = settled.await {
        return Err(error.wrap_err(describe_reads(&deployment).await));
    }
    deployment.platform.reset_counts();
    for edit in 0..edits {
        let changed_at = Instant::now();
        let version = deployment.platform.set_text(&text(12_000 + edit))?;
        let took = deployment.wait_in_force(&vms, version, changed_at).await?;
        assert!(took < MAX_DELAY, "{nodes} nodes: {took:?}");
        let watching = deployment.wait_until("readers watch again", is_settled);
        if let Err(error) = watching.await {
            return Err(error.wrap_err(describe_reads(&deployment).await));
        }
    }
    let counts = deployment.platform.counts();
    println!("{nodes} nodes, {edits} edits: {:?}", counts.by_endpoint);
    Ok(counts.all.total)
}

#[tokio::test]
async fn platform_reads_scale_with_data_centres_and_not_with_nodes() -> Result<()> {
    // The platform counts every read, a waiting watch as one. In each data
    // centre two nodes read, so that six nodes and fourteen cost it the same:
    // one read of the text by each reader for each edit.
    const EDITS: u64 = 10;
    let (six, fourteen) = tokio::join!(count_reads(6, EDITS), count_reads(14, EDITS));
    let (six, fourteen) = (six?, fourteen?);
    println!("platform reads for {EDITS} edits: {six} by 6 nodes, {fourteen} by 14");
    let readers = READERS * DATA_CENTRES.len() as u64;
    // Readers change when a node is not heard for long on a busy machine; the
    // newcomer reads once more. Fourteen readers would be far above this.
    let bound = readers * EDITS * 14 / 10;
    assert!(six <= bound, "{six} reads, above {bound}");
    assert!(fourteen <= bound, "{fourteen} reads, above {bound}");
    Ok(())
}

#[tokio::test]
async fn an_edit_during_a_platform_outage_comes_into_force_after_it() -> Result<()> {
    // The platform's port closes. Callers notice nothing: nodes serve on with
    // what is in force. An operator edits meanwhile; once the port is open
    // again, readers that tried at growing intervals find the edit.
    let deployment = start(5).await?;
    let vms = deployment.fleet.names();
    deployment.platform.down().await;
    wait_platform(&deployment, PlatformState::Unreachable).await?;
    let version = deployment.platform.set_text(&text(12_000))?;
    assert_serving(&deployment, &vms, "down").await?;
    for vm in &vms {
        assert_eq!(deployment.in_force(vm).await, Some(1), "{vm}");
    }
    let up_at = Instant::now();
    deployment.platform.up().await;
    let took = deployment.wait_in_force(&vms, version, up_at).await?;
    println!("in force {took:?} after the platform is back");
    assert!(took < MAX_DELAY, "{took:?}");
    deployment.assert_versions_never_decrease()
}

#[tokio::test]
async fn a_stale_platform_delays_edits_and_nothing_else() -> Result<()> {
    // The platform answers, but shows what it had before; its watches hang.
    // Nodes serve on; the edit comes into force as soon as it is shown.
    let deployment = start(5).await?;
    let vms = deployment.fleet.names();
    deployment.platform.stale().await;
    let version = deployment.platform.set_text(&text(12_000))?;
    assert_serving(&deployment, &vms, "stale").await?;
    for vm in &vms {
        assert_eq!(deployment.in_force(vm).await, Some(1), "{vm}");
    }
    let shown_at = Instant::now();
    deployment.platform.up().await;
    let took = deployment.wait_in_force(&vms, version, shown_at).await?;
    println!("in force {took:?} after the platform shows it");
    assert!(took < MAX_DELAY, "{took:?}");
    deployment.assert_versions_never_decrease()
}

/// Readers of the platform beside the nodes, so many that it refuses some.
struct ExternalReaders {
    stop: Arc<AtomicBool>,
    reads: Arc<AtomicU64>,
    readers: JoinSet<()>,
}

impl ExternalReaders {
    const READERS: usize = 24;

    fn start(deployment: &Deployment) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let reads = Arc::new(AtomicU64::new(0));
        let platform = deployment.platform.addr();
        let mut readers = JoinSet::new();
        for _ in 0..Self::READERS {
            let (stop, reads) = (Arc::clone(&stop), Arc::clone(&reads));
            readers.spawn(async move {
                let client = HttpClient::new(HttpVersion::Http1);
                while !stop.load(Ordering::Relaxed) {
                    let _ = client.get(platform, "/v1/other").await;
                    reads.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        Self {
            stop,
            reads,
            readers,
        }
    }

    async fn leave(mut self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        while self.readers.join_next().await.is_some() {}
        self.reads.load(Ordering::Relaxed)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_platform_that_rejects_readers_delays_edits_and_nothing_else() -> Result<()> {
    // Others read the platform beyond its limit, and it answers `429` to
    // everybody, the nodes included. Calls are served on; when the crowd has
    // gone, the edit comes into force.
    let deployment = start(5).await?;
    let vms = deployment.fleet.names();
    let external_readers = ExternalReaders::start(&deployment);
    let refuses = |deployment: &Deployment| deployment.platform.counts().refused > 0;
    deployment
        .wait_until("the platform refuses", refuses)
        .await?;
    deployment.platform.set_text(&text(12_000))?;
    let is_refused = |deployment: &Deployment| {
        let logs = vms.iter().flat_map(|vm| deployment.fleet.logs(vm));
        let mut lines = logs.flatten();
        lines.any(|line| line.contains("the platform answered 429"))
    };
    let mut edits = 2;
    let give_up = Instant::now() + WAIT_TIMEOUT;
    while !is_refused(&deployment) {
        ensure!(Instant::now() < give_up, "no node was refused");
        edits += 1;
        deployment.platform.set_text(&text(12_000 + edits))?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_serving(&deployment, &vms, "refused").await?;
    let last = deployment.platform.set_text(&text(19_000))?;
    let refused = deployment.platform.counts().refused;
    let reads = external_readers.leave().await;
    let left_at = Instant::now();
    let took = deployment.wait_in_force(&vms, last, left_at).await?;
    println!("{reads} reads of others, {refused} refused; in force {took:?} after they left");
    assert!(took < MAX_DELAY, "{took:?}");
    deployment.assert_versions_never_decrease()
}
