//! Control over HTTP, for a stand-in that runs as a separate process.

use crate::http_server::{Answer, json_answer, query_value, read_json, text_answer};
use crate::prelude::*;

use super::cut::Cut;
use super::{Behaviour, Shared};

/// Body of `POST /admin/stall`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StallRequest {
    /// Duration of the stall, in milliseconds.
    pub span_ms: u64,
}

/// Body of `POST /admin/cut`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CutNextRequest {
    /// Way in which the answers are cut.
    pub cut: Cut,
    /// Number of answers to cut.
    pub count: u32,
}

/// Body of `POST /admin/node`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SetNodeRequest {
    /// The node through which the target calls other services.
    pub node: SocketAddr,
}

pub(super) async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    match execute(shared, request).await {
        Ok(answer) => answer,
        Err(error) => text_answer(StatusCode::BAD_REQUEST, format!("{error:#}")),
    }
}

async fn execute(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Answer> {
    let (head, body) = request.into_parts();
    match (head.method.as_str(), head.uri.path()) {
        ("GET", "/admin/runs") => {
            let runs = match query_value(head.uri.query(), "key") {
                Some(key) => shared.journal.runs_of_key(key),
                None => shared.journal.all(),
            };
            return Ok(json_answer(StatusCode::OK, &runs));
        }
        ("GET", "/admin/counts") => return Ok(json_answer(StatusCode::OK, &shared.counts())),
        ("GET", "/admin/load") => return Ok(json_answer(StatusCode::OK, &shared.load())),
        ("GET", "/admin/mood") => return Ok(json_answer(StatusCode::OK, &shared.behaviour())),
        ("POST", "/admin/mood") => {
            let behaviour: Behaviour = read_json(body).await?;
            shared.set_behaviour(behaviour);
        }
        ("POST", "/admin/stall") => {
            let command: StallRequest = read_json(body).await?;
            shared.stalls.freeze(Duration::from_millis(command.span_ms));
        }
        ("POST", "/admin/cut") => {
            let command: CutNextRequest = read_json(body).await?;
            shared.cut_next(command.cut, command.count);
        }
        ("POST", "/admin/node") => {
            let command: SetNodeRequest = read_json(body).await?;
            *shared.node.lock() = Some(command.node);
        }
        ("POST", "/admin/crash") => {
            let owner = Arc::clone(shared);
            tokio::spawn(async move { owner.crash().await });
        }
        _ => return Ok(text_answer(StatusCode::NOT_FOUND, "no such order")),
    }
    Ok(text_answer(StatusCode::OK, ""))
}
