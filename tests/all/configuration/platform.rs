//! The number of platform reads, and the effects of platform outages.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion};
use hornbeamhitch_types::status::PlatformState;
use tokio::task::JoinSet;

use super::*;
use crate::support::WAIT_TIMEOUT;

/// Number of nodes in each data centre that read the platform.
const READERS: u64 = 2;

/// Waits until the status of some node shows this state of the platform.
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

/// Describes the platform's read counts and each node's view of the platform, for the
/// error of a failed wait.
async fn describe_reads(deployment: &Deployment) -> String {
    let mut lines = format!("{:#?}", deployment.platform.counts());
    for vm in deployment.fleet.names() {
        let description = match deployment.status(&vm).await {
            Ok(status) => format!("{:?}", status.platform),
            Err(error) => format!("{error:#}"),
        };
        lines.push_str(&format!("\n{vm}: {description}"));
    }
    lines
}

/// Counts the platform reads of some edits, once the choice of readers is stable.
async fn count_reads(nodes: usize, edits: u64) -> Result<u64> {
    let deployment = start(nodes).await?;
    let vms = deployment.fleet.names();
    let readers = READERS * DATA_CENTRES.len() as u64;
    // Each reader has two watches. At a cold start there are more readers, until the
    // nodes of a data centre know each other.
    let is_settled = |deployment: &Deployment| deployment.platform.counts().waiting == 2 * readers;
    let settled = deployment.wait_until("two readers per data centre", is_settled);
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
    // The platform counts every read, and a waiting watch as one. Two nodes in each
    // data centre read, so six nodes cause as many reads as fourteen: one read of the
    // text per reader and edit.
    const EDITS: u64 = 10;
    let (six, fourteen) = tokio::join!(count_reads(6, EDITS), count_reads(14, EDITS));
    let (six, fourteen) = (six?, fourteen?);
    println!("platform reads for {EDITS} edits: {six} by 6 nodes, {fourteen} by 14");
    let readers = READERS * DATA_CENTRES.len() as u64;
    // On a busy machine a reader may be replaced because its peers got no heartbeat
    // for too long, and the new reader reads once more. Fourteen readers would be far
    // above this bound.
    let bound = readers * EDITS * 14 / 10;
    assert!(six <= bound, "{six} reads, above {bound}");
    assert!(fourteen <= bound, "{fourteen} reads, above {bound}");
    Ok(())
}

#[tokio::test]
async fn an_edit_during_a_platform_outage_comes_into_force_after_it() -> Result<()> {
    // The platform's port closes. Callers notice nothing: nodes continue to serve with
    // the version in force. An operator edits the text during the outage; once the port
    // is open again, readers, which retry with increasing backoff, read the edit.
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
    // The platform answers with stale values, and its watches hang. Nodes continue to
    // serve; the edit comes into force as soon as the platform serves it.
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
    println!("in force {took:?} after the platform serves it");
    assert!(took < MAX_DELAY, "{took:?}");
    deployment.assert_versions_never_decrease()
}

/// Other readers of the platform, so many that it rejects some reads.
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
    // Other readers exceed the platform's limit, and it answers `429` to all readers,
    // including the nodes. Nodes continue to serve; once the other readers have
    // stopped, the edit comes into force.
    let deployment = start(5).await?;
    let vms = deployment.fleet.names();
    let external_readers = ExternalReaders::start(&deployment);
    let refuses = |deployment: &Deployment| deployment.platform.counts().refused > 0;
    deployment
        .wait_until("the platform rejects reads", refuses)
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
        ensure!(
            Instant::now() < give_up,
            "the platform rejected no read of a node"
        );
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
    println!("{reads} reads of others, {refused} rejected; in force {took:?} after they stopped");
    assert!(took < MAX_DELAY, "{took:?}");
    deployment.assert_versions_never_decrease()
}
