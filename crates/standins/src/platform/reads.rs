//! Reads and watches, as the real platform offers them.

use futures_util::future::BoxFuture;
use tokio::time::{Instant, sleep, timeout_at};

use crate::http_server::{
    Answer, Connection, DropConnection, Handler, json_answer, query_value, text_answer,
};
use crate::prelude::*;

use super::behaviour::Reachability;
use super::counts::Endpoint;
use super::{Shared, admin};

/// Header that carries the version of the configuration text.
const VERSION_HEADER: &str = "platform-version";

const MAX_WAIT_MS: u64 = 120_000;
const DEFAULT_WAIT_MS: u64 = 30_000;
const SILENT_HOLD: Duration = Duration::from_secs(600);

pub(super) struct PlatformHandler {
    pub(super) shared: Arc<Shared>,
}

/// Query parameters of a read.
struct ReadQuery {
    after: Option<u64>,
    wait: Duration,
    service: Option<String>,
}

impl Handler for PlatformHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Connection,
    ) -> BoxFuture<'static, Result<Answer, DropConnection>> {
        let shared = Arc::clone(&self.shared);
        if request.uri().path().starts_with("/admin/") {
            return Box::pin(async move { Ok(admin::answer(&shared, request).await) });
        }
        Box::pin(async move { answer_read(&shared, &request, &connection).await })
    }
}

async fn answer_read(
    shared: &Shared,
    request: &Request<Incoming>,
    connection: &Connection,
) -> Result<Answer, DropConnection> {
    let query = read_query(request.uri().query());
    let endpoint = endpoint_of(request.uri().path(), query.after.is_some());
    if !shared.counter.admit(endpoint, connection.peer) {
        return Ok(text_answer(StatusCode::TOO_MANY_REQUESTS, "too many reads"));
    }
    let behaviour = shared.store.behaviour();
    match behaviour.reach {
        Reachability::Up => {}
        Reachability::Refused | Reachability::Reset => {
            connection.reset_when_dropped();
            return Err(DropConnection);
        }
        Reachability::Unavailable => {
            return Ok(text_answer(StatusCode::SERVICE_UNAVAILABLE, "unavailable"));
        }
        Reachability::Silent => {
            sleep(SILENT_HOLD).await;
            return Err(DropConnection);
        }
    }
    if behaviour.delay_ms > 0 {
        sleep(Duration::from_millis(behaviour.delay_ms)).await;
    }
    if request.method() != Method::GET {
        return Ok(text_answer(StatusCode::METHOD_NOT_ALLOWED, "only read"));
    }
    Ok(match endpoint {
        Endpoint::Text => current_text(shared),
        Endpoint::TextWatch => watch_text(shared, &query).await,
        Endpoint::Vms => current_vms(shared, &query),
        Endpoint::VmsWatch => watch_vms(shared, &query).await,
        Endpoint::Other => text_answer(StatusCode::NOT_FOUND, "no such value"),
    })
}

fn endpoint_of(path: &str, watches: bool) -> Endpoint {
    match (path, watches) {
        ("/v1/text", false) => Endpoint::Text,
        ("/v1/text", true) => Endpoint::TextWatch,
        ("/v1/vms", false) => Endpoint::Vms,
        ("/v1/vms", true) => Endpoint::VmsWatch,
        _ => Endpoint::Other,
    }
}

fn read_query(query: Option<&str>) -> ReadQuery {
    let after = query_value(query, "after").and_then(|value| value.parse().ok());
    let wait_ms = query_value(query, "wait_ms").and_then(|value| value.parse().ok());
    let wait_ms = wait_ms.unwrap_or(DEFAULT_WAIT_MS).min(MAX_WAIT_MS);
    ReadQuery {
        after,
        wait: Duration::from_millis(wait_ms),
        service: query_value(query, "service").map(str::to_owned),
    }
}

fn current_text(shared: &Shared) -> Answer {
    let Some(text) = shared.store.visible_text() else {
        return text_answer(StatusCode::NOT_FOUND, "no text yet");
    };
    let mut answer = text_answer(StatusCode::OK, text.text);
    answer
        .headers_mut()
        .insert(VERSION_HEADER, text.version.into());
    answer
}

async fn watch_text(shared: &Shared, query: &ReadQuery) -> Answer {
    let version = || shared.store.visible_text().map_or(0, |text| text.version);
    if wait_for_newer_version(shared, query, version).await {
        return current_text(shared);
    }
    text_answer(StatusCode::NOT_MODIFIED, "")
}

fn current_vms(shared: &Shared, query: &ReadQuery) -> Answer {
    let list = shared.store.visible_vms();
    match &query.service {
        Some(service) => json_answer(StatusCode::OK, &list.of_service(service)),
        None => json_answer(StatusCode::OK, list.as_ref()),
    }
}

async fn watch_vms(shared: &Shared, query: &ReadQuery) -> Answer {
    let version = || shared.store.visible_vms().version;
    if wait_for_newer_version(shared, query, version).await {
        return current_vms(shared, query);
    }
    text_answer(StatusCode::NOT_MODIFIED, "")
}

/// Waits until the visible version is above the reader's and returns true, or
/// false after the requested wait.
async fn wait_for_newer_version(
    shared: &Shared,
    query: &ReadQuery,
    version: impl Fn() -> u64,
) -> bool {
    let after = query.after.unwrap_or(0);
    let end = Instant::now() + query.wait;
    let _waiting = shared.counter.begin_wait();
    let mut changes = shared.store.changes();
    loop {
        changes.mark_unchanged();
        if version() > after {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        let mut wake_at = end;
        if let Some(due) = shared.store.next_list_in() {
            wake_at = end.min(Instant::now() + due.to_duration() + Duration::from_millis(1));
        }
        let _ = timeout_at(wake_at, changes.changed()).await;
    }
}
