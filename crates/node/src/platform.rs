//! Client of the platform's service, over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Context, Result, bail, eyre};
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::control::{ListVersion, ListedVm};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

/// The platform's size limit of one value.
const MAX_TEXT_BYTES: usize = 1 << 20;
/// Maximum size of a VM list. The list of a large fleet is read by service; a
/// complete list above this size is rejected.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Time allowed for a response beyond the requested wait. The platform itself
/// answers within milliseconds.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const VERSION_HEADER: &str = "platform-version";

/// Reads the configuration text and the VM list.
#[derive(Clone, Debug)]
pub struct PlatformReader {
    address: SocketAddr,
    http: Client<HttpConnector, Empty<Bytes>>,
}

/// A configuration text with its version. It has not been checked yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedText {
    /// The version of the text.
    pub version: ConfigVersion,
    /// The configuration text.
    pub text: String,
}

/// A VM list with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedVms {
    /// The version of the list.
    pub version: ListVersion,
    /// All VMs, or the VMs of one service.
    pub vms: Vec<ListedVm>,
}

#[derive(Deserialize)]
struct ListBody {
    version: u64,
    vms: Vec<ListEntry>,
}

#[derive(Deserialize)]
struct ListEntry {
    vm: VmId,
    data_centre: DataCentre,
    service: ServiceName,
    state: ListState,
    peer: SocketAddr,
    control: SocketAddr,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum ListState {
    Live,
    Leaving,
}

impl PlatformReader {
    /// Creates a reader that connects on demand.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            address,
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Reads the configuration text, or watches for a version above `after`.
    /// Returns `None` if there is none within `wait_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or its answer is not a
    /// valid text.
    pub async fn text(
        &self,
        after: ConfigVersion,
        wait_ms: Millis,
    ) -> Result<Option<PublishedText>> {
        let path = format!("/v1/text?after={}&wait_ms={}", after.0, wait_ms.0);
        let response = self.get(&path, wait_ms, MAX_TEXT_BYTES).await?;
        response.changed()?.map(text).transpose()
    }

    /// Reads the VM list, complete or of one service, or watches for a version
    /// above `after`. Returns `None` if there is none within `wait_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or its answer is not a
    /// valid list.
    pub async fn vms(
        &self,
        service: Option<&ServiceName>,
        after: ListVersion,
        wait_ms: Millis,
    ) -> Result<Option<PublishedVms>> {
        let mut path = format!("/v1/vms?after={}&wait_ms={}", after.0, wait_ms.0);
        if let Some(service) = service {
            path.push_str("&service=");
            path.push_str(service.as_str());
        }
        let response = self.get(&path, wait_ms, MAX_LIST_BYTES).await?;
        response
            .changed()?
            .map(|response| list(&response))
            .transpose()
    }

    async fn get(&self, path: &str, wait_ms: Millis, max_bytes: usize) -> Result<PlatformResponse> {
        let limit = wait_ms.to_duration() + RESPONSE_MARGIN;
        let read = self.get_unbounded(path, max_bytes);
        tokio::time::timeout(limit, read)
            .await
            .wrap_err("the platform did not answer in time")?
    }

    async fn get_unbounded(&self, path: &str, max_bytes: usize) -> Result<PlatformResponse> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::get(uri).body(Empty::new())?;
        let response = self.http.request(request).await?;
        let status = response.status();
        let version = response.headers().get(VERSION_HEADER);
        let version = version.and_then(|text| text.to_str().ok()?.parse().ok());
        let body = Limited::new(response.into_body(), max_bytes);
        let body = body.collect().await.map_err(|error| eyre!(error))?;
        Ok(PlatformResponse {
            status,
            version,
            body: body.to_bytes(),
        })
    }
}

struct PlatformResponse {
    status: StatusCode,
    version: Option<u64>,
    body: Bytes,
}

impl PlatformResponse {
    /// Returns the response if it contains a value, and `None` if there is no
    /// new one.
    fn changed(self) -> Result<Option<Self>> {
        match self.status {
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(self)),
            status => bail!("the platform answered {status}"),
        }
    }
}

fn text(response: PlatformResponse) -> Result<PublishedText> {
    let version = response
        .version
        .ok_or_else(|| eyre!("the text has no {VERSION_HEADER} header"))?;
    let text = std::str::from_utf8(&response.body).wrap_err("the text is not UTF-8")?;
    Ok(PublishedText {
        version: ConfigVersion(version),
        text: text.to_owned(),
    })
}

fn list(response: &PlatformResponse) -> Result<PublishedVms> {
    let list: ListBody =
        serde_json::from_slice(&response.body).wrap_err("the VM list is malformed")?;
    let mut vms = Vec::with_capacity(list.vms.len());
    for entry in list.vms {
        vms.push(ListedVm {
            vm: entry.vm,
            data_centre: entry.data_centre,
            service: entry.service,
            leaving: entry.state == ListState::Leaving,
            peer: entry.peer,
            control: entry.control,
        });
    }
    Ok(PublishedVms {
        version: ListVersion(list.version),
        vms,
    })
}
