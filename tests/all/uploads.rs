//! Limits on the time and memory that uploads use in a node.

use std::time::{Duration, Instant};

use eyre::Result;
use hornbeamhitch_standins::target::ServiceTime;
use hornbeamhitch_types::prelude::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::caller::{Call, code_of};
use crate::support::payment::Payment;
use crate::support::{CASHIER_TEXT, Deployment, Member};

const IDLE_TIMEOUT_MS: u64 = 300;
const BUFFERED_BYTES: u64 = 1 << 20;
/// Well below the deadline of the stalled call, after which it would end anyway.
const CUT_TIMEOUT: Duration = Duration::from_secs(10);
const DEADLINE_MS: u64 = 60_000;

async fn start(service_us: u64) -> Result<Deployment> {
    let member = Member::new("cashier-1", "cashier").with(|target| {
        target.service_time = ServiceTime::Fixed { us: service_us };
    });
    let limits =
        json!({ "body_timeout_ms": IDLE_TIMEOUT_MS, "buffered_bodies_bytes": BUFFERED_BYTES });
    let mut deployment = Deployment::prepare_with(vec![member], |config| {
        config.extra_settings.insert("limits".to_owned(), limits);
    })
    .await?;
    deployment.platform.set_text(CASHIER_TEXT)?;
    deployment.start_nodes().await?;
    Ok(deployment)
}

/// A caller loses its network in the middle of an upload and sends nothing more, not
/// even a reset. The call must not occupy the node's memory until its deadline of a
/// minute. Nothing has run, and the same ticket can still run the whole upload.
#[tokio::test]
async fn a_stalled_upload_is_cut_and_has_not_run() -> Result<()> {
    let deployment = start(0).await?;
    let entry = deployment.entry("cashier-1");
    let payment = Payment::ticketed(entry, Call::charge("silent")).await?;
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: node\r\nhitch-deadline-ms: {DEADLINE_MS}\r\n\
         content-length: 1000\r\n\r\nonly the beginning",
        payment.path
    );
    let mut stream = TcpStream::connect(entry).await?;
    let started_at = Instant::now();
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(CUT_TIMEOUT, reading).await?;
    let cut_after = started_at.elapsed();
    println!("cut after {} ms", cut_after.as_millis());
    assert!(cut_after >= Duration::from_millis(IDLE_TIMEOUT_MS));
    assert!(payment.runs(&deployment).is_empty());

    let whole = payment.settle(entry).await?;
    let code = code_of(&whole);
    let never_ran = code == Some(ResultCode::Fenced);
    assert!(never_ran || code == Some(ResultCode::Answered), "{code:?}");
    assert_eq!(payment.runs(&deployment).len(), usize::from(!never_ran));
    Ok(())
}

/// A node buffers large uploads completely until their runs have ended. When its memory
/// for them is used up, a further upload gets the answer "not yet": its key is not
/// fenced, and the same ticket runs once there is room again.
#[tokio::test]
async fn uploads_beyond_the_memory_limit_are_rejected_for_now() -> Result<()> {
    let large = vec![7_u8; 700 << 10];
    let deployment = start(1_500_000).await?;
    let entry = deployment.entry("cashier-1");
    let first = Payment::ticketed(entry, Call::charge("first").with_body(large.clone())).await?;
    let second = Payment::ticketed(entry, Call::charge("second").with_body(large)).await?;
    let running = first.begin(entry);
    first.wait_started(&deployment).await?;

    let refused = second.send(entry).await.unwrap();
    assert_eq!(code_of(&refused), Some(ResultCode::RecordsFull));
    assert!(second.runs(&deployment).is_empty());

    let answer = running.await?.unwrap();
    assert!(first.call.is_answered_by(&answer));
    let answer = second.settle(entry).await?;
    assert_eq!(code_of(&answer), Some(ResultCode::Answered));
    assert_eq!(second.runs(&deployment).len(), 1);
    Ok(())
}
