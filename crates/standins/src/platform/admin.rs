//! Control over HTTP, for a stand-in that runs as a separate process.

use tokio::time::sleep;

use crate::http_server::{Answer, json_answer, query_value, read_body, read_json, text_answer};
use crate::prelude::*;

use super::Shared;
use super::behaviour::{Behaviour, Reachability};
use super::vms::{VmEntry, VmState};

const CLOSE_AFTER: Duration = Duration::from_millis(20);

/// Body of `POST /admin/mood`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct SetBehaviourRequest {
    /// The new behaviour.
    #[serde(rename = "mood")]
    pub behaviour: Behaviour,
    /// Time after which the default behaviour is restored, in milliseconds.
    /// Required to close the port, because a closed port accepts no further
    /// commands.
    pub for_ms: Option<u64>,
}

/// Body of `POST /admin/vm-state`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetVmStateRequest {
    /// Name of the VM.
    pub vm: String,
    /// The new state; `None` removes the VM from the list.
    pub state: Option<VmState>,
}

/// Answer to a command that published a value.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Published {
    /// The new version.
    pub version: u64,
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
        ("POST", "/admin/text") => {
            let version = query_value(head.uri.query(), "version");
            let version = version.map(str::parse).transpose()?;
            let bytes = read_body(body).await?;
            let text = std::str::from_utf8(&bytes)?;
            published(shared.store.set_text(text, version)?)
        }
        ("POST", "/admin/vms") => {
            let vms: Vec<VmEntry> = read_json(body).await?;
            published(shared.store.set_vms(vms)?)
        }
        ("POST", "/admin/vm-state") => {
            let command: SetVmStateRequest = read_json(body).await?;
            published(match command.state {
                Some(state) => shared.store.set_vm_state(&command.vm, state)?,
                None => shared.store.remove_vm(&command.vm)?,
            })
        }
        ("POST", "/admin/mood") => {
            let command: SetBehaviourRequest = read_json(body).await?;
            apply_behaviour(shared, command).await
        }
        ("GET", "/admin/mood") => Ok(json_answer(StatusCode::OK, &shared.store.behaviour())),
        ("GET", "/admin/counts") => Ok(json_answer(StatusCode::OK, &shared.counter.counts())),
        ("POST", "/admin/reset-counts") => {
            shared.counter.reset();
            Ok(text_answer(StatusCode::OK, ""))
        }
        _ => Ok(text_answer(StatusCode::NOT_FOUND, "no such order")),
    }
}

fn published(version: u64) -> Result<Answer> {
    Ok(json_answer(StatusCode::OK, &Published { version }))
}

async fn apply_behaviour(shared: &Arc<Shared>, command: SetBehaviourRequest) -> Result<Answer> {
    let closes = command.behaviour.reach == Reachability::Refused;
    ensure!(
        command.for_ms.is_some() || !closes,
        "a closed port needs for_ms, or it could never be opened again"
    );
    if closes {
        let owner = Arc::clone(shared);
        tokio::spawn(async move {
            // Lets the answer to this command be sent before the port is closed.
            sleep(CLOSE_AFTER).await;
            owner.set_behaviour(command.behaviour).await;
        });
    } else {
        shared.set_behaviour(command.behaviour).await;
    }
    if let Some(for_ms) = command.for_ms {
        let owner = Arc::clone(shared);
        tokio::spawn(async move {
            sleep(CLOSE_AFTER + Duration::from_millis(for_ms)).await;
            owner.set_behaviour(Behaviour::default()).await;
        });
    }
    Ok(text_answer(StatusCode::OK, ""))
}
