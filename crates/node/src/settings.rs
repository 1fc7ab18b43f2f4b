//! The node's settings: JSON with comments, checked completely at startup.
//!
//! [`Config::parse`] reads every key through an adapter that checks its value,
//! collects all faults, and only then builds the [`Config`] that the rest of
//! the daemon uses. Settings are never read again later, so a node never runs
//! on a partially changed file.

mod check;
mod fault;
mod nearest;
mod reader;
mod units;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;

use hornbeamhitch_types::prelude::*;
use log::LevelFilter;

pub use self::fault::{Fault, FaultKind, SettingsFaults};
use self::reader::Section;
use self::units::{
    BoundAddress, CountIn, HostAddress, ListenAddress, LogLevel, MillisIn, Name, OverloadPartName,
};

/// Larger files are rejected unread: no settings file comes near this size, so
/// the path must be wrong.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// More traffic threads than this only add contention on one small VM.
const MAX_TRAFFIC_THREADS: u64 = 64;
/// Default number of traffic threads on VMs with many cores, because the cores
/// belong to the target.
const DEFAULT_TRAFFIC_THREADS: usize = 4;
const DEFAULT_DRAIN_TIMEOUT_MS: Millis = Millis(30_000);

/// Names of the parts of overload control on the routed path. That path depends on this
/// crate and parses them; a test there compares them with its own.
pub const OVERLOAD_PARTS: [&str; 7] = [
    "silence-bound",
    "service-level",
    "scheduled-returns",
    "caller-shares",
    "nested-first",
    "answer-order",
    "reject-rates",
];

/// All settings of a node.
///
/// `docs/operators/settings.md` lists them for operators, with the consequences
/// of each choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The deployment that the node belongs to. Nodes of different deployments
    /// ignore each other, even if an address has moved from one to the other.
    /// Default: `default`.
    pub deployment: String,
    /// The VM's name as in the platform's VM list. Required.
    pub vm: VmId,
    /// The service of this VM's target. Required.
    pub service: ServiceName,
    /// The VM's data centre, to which distances in the configuration text
    /// refer. Required.
    pub data_centre: DataCentre,
    /// Address that serves callers, over HTTP/1.1 and HTTP/2. Required.
    pub callers_address: SocketAddr,
    /// Address that serves other nodes, over HTTP/2. They connect to it, so it
    /// must be the VM's own address and not `0.0.0.0`. Required.
    pub peer_address: SocketAddr,
    /// Address for control messages over UDP and bulk transfers over TCP. Other
    /// nodes send to it, so it must be the VM's own address. Required.
    pub control_address: SocketAddr,
    /// Address that serves operators with status, readiness and metrics.
    /// Required.
    pub operators_address: SocketAddr,
    /// Address of this VM's target. Required.
    pub target_address: SocketAddr,
    /// Address of the platform's configuration service. Required.
    pub platform_address: SocketAddr,
    /// Control addresses of other nodes that are contacted first while the
    /// platform is down. Default: none.
    pub seeds: Vec<SocketAddr>,
    /// Number of traffic threads, in addition to the control thread (1 to 64).
    /// Default: the VM's cores, at most 4.
    pub traffic_threads: usize,
    /// How long a leaving node waits for calls in flight (100 ms to 1 hour).
    /// Calls that take longer are aborted. Default: 30 s.
    pub drain_timeout_ms: Millis,
    /// Parts of overload control that are switched off on the routed path, each one of
    /// [`OVERLOAD_PARTS`]. Default: none.
    pub overload_off: Vec<String>,
    /// Limits on the resources that others can occupy on this node.
    pub limits: Limits,
    /// Settings of the log.
    pub log: LogSettings,
}

/// Limits on the memory and time that callers and peers can take from the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes (8,192 to 1,048,576). The HTTP
    /// library rejects larger ones with status 431. Default: 16,384.
    pub header_bytes: usize,
    /// Maximum number of headers of one request (16 to 1,000). Default: 100.
    pub header_count: usize,
    /// Maximum number of concurrent connections of callers (1 to 100,000).
    /// Further ones wait in the kernel's backlog. Default: 1,000.
    pub max_connections: usize,
    /// Maximum number of concurrent connections of other nodes (1 to 100,000).
    /// Default: 1,000.
    pub max_peer_connections: usize,
    /// Maximum number of concurrent HTTP/2 streams per connection (1 to
    /// 10,000). Default: 256.
    pub streams_per_connection: u32,
    /// Time within which a request's head must arrive (100 ms to 10 min).
    /// Default: 10 s.
    pub head_timeout_ms: Millis,
    /// Maximum time without data within a body (100 ms to 10 min). After it the
    /// upload counts as truncated and has not run. Default: 30 s.
    pub body_timeout_ms: Millis,
    /// Idle time after which a connection is closed (1 s to 1 hour). Default:
    /// 60 s.
    pub idle_timeout_ms: Millis,
    /// Maximum size in bytes of the buffered bodies of all calls (1 MiB to
    /// 16 GiB). Further ticketed calls are refused as `records-full`. Default:
    /// 64 MiB.
    pub buffered_bodies_bytes: u64,
    /// Maximum size in bytes of the answers stored for replay (64 KiB to
    /// 16 GiB). Further answers are not stored, and callers that request them
    /// again get `answer-not-kept`. Default: 64 MiB.
    pub stored_answers_bytes: u64,
    /// Maximum size of one bulk transfer between nodes in bytes (1 MiB to
    /// 64 MiB). Larger ones are rejected. Default: 4 MiB.
    pub bulk_bytes: usize,
    /// Maximum number of bulk transfers served concurrently (1 to 1,000).
    /// Default: 16.
    pub bulk_connections: usize,
}

/// Settings of the log, which is written as JSON lines to standard error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written. Default: `info`.
    pub level: LevelFilter,
    /// Levels of individual targets (module paths), which also apply to their
    /// submodules. Default: none.
    pub targets: BTreeMap<String, LevelFilter>,
    /// Number of lines that one call site may write per ten seconds (1 to
    /// 1,000,000). Further ones are counted and suppressed. Default: 50.
    pub repeats_per_10_s: u32,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file at once, or a single fault if it cannot
    /// be read.
    pub fn load(path: &Path) -> Result<Self, SettingsFaults> {
        let text = read_file(path).map_err(|fault| SettingsFaults::unreadable(path, fault))?;
        Self::parse(&text).map_err(|faults| faults.in_file(path))
    }

    /// Checks settings that are already in memory.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text at once, ordered by line and column.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        let document = reader::Document::parse(text)?;
        let mut root = document.root()?;
        let draft = read_config(&mut root);
        let mut faults = root.finish();
        check::check_addresses(&document, &draft, &mut faults);
        match draft.build() {
            Some(config) if faults.is_empty() => Ok(config),
            _ => Err(SettingsFaults::new(faults)),
        }
    }
}

/// Settings of which some may be missing because their values were rejected.
struct Draft {
    deployment: String,
    vm: Option<String>,
    service: Option<String>,
    data_centre: Option<String>,
    callers_address: Option<SocketAddr>,
    peer_address: Option<SocketAddr>,
    control_address: Option<SocketAddr>,
    operators_address: Option<SocketAddr>,
    target_address: Option<SocketAddr>,
    platform_address: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    traffic_threads: usize,
    drain_timeout_ms: Millis,
    overload_off: Vec<String>,
    limits: Limits,
    log: LogSettings,
}

impl Draft {
    fn build(self) -> Option<Config> {
        Some(Config {
            deployment: self.deployment,
            vm: VmId::new(&self.vm?),
            service: ServiceName::new(&self.service?),
            data_centre: DataCentre::new(&self.data_centre?),
            callers_address: self.callers_address?,
            peer_address: self.peer_address?,
            control_address: self.control_address?,
            operators_address: self.operators_address?,
            target_address: self.target_address?,
            platform_address: self.platform_address?,
            seeds: self.seeds,
            traffic_threads: self.traffic_threads,
            drain_timeout_ms: self.drain_timeout_ms,
            overload_off: self.overload_off,
            limits: self.limits,
            log: self.log,
        })
    }
}

fn read_config(root: &mut Section<'_>) -> Draft {
    let deployment = root.optional::<String, Name>("deployment");
    Draft {
        deployment: deployment.unwrap_or_else(|| DEFAULT_DEPLOYMENT.to_owned()),
        vm: root.required::<_, Name>("vm"),
        service: root.required::<_, Name>("service"),
        data_centre: root.required::<_, Name>("data_centre"),
        callers_address: root.required::<_, ListenAddress>("callers_address"),
        peer_address: root.required::<_, BoundAddress>("peer_address"),
        control_address: root.required::<_, BoundAddress>("control_address"),
        operators_address: root.required::<_, ListenAddress>("operators_address"),
        target_address: root.required::<_, HostAddress>("target_address"),
        platform_address: root.required::<_, HostAddress>("platform_address"),
        seeds: root.list::<_, HostAddress>("seeds"),
        traffic_threads: root
            .optional::<_, CountIn<1, MAX_TRAFFIC_THREADS>>("traffic_threads")
            .unwrap_or_else(default_traffic_threads),
        drain_timeout_ms: root
            .optional::<_, MillisIn<100, 3_600_000>>("drain_timeout_ms")
            .unwrap_or(DEFAULT_DRAIN_TIMEOUT_MS),
        overload_off: root.list::<_, OverloadPartName>("overload_off"),
        limits: root.section("limits", read_limits),
        log: root.section("log", read_log),
    }
}

/// Defaults of [`Limits`]; `read_limits` has the allowed ranges.
impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            header_count: 100,
            max_connections: 1_000,
            max_peer_connections: 1_000,
            streams_per_connection: 256,
            head_timeout_ms: Millis(10_000),
            body_timeout_ms: Millis(30_000),
            idle_timeout_ms: Millis(60_000),
            buffered_bodies_bytes: 64 * MIB,
            stored_answers_bytes: 64 * MIB,
            bulk_bytes: 4 * 1024 * 1024,
            bulk_connections: 16,
        }
    }
}

const DEFAULT_DEPLOYMENT: &str = "default";

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
const GIB: u64 = 1024 * MIB;

/// A memory limit between `MIN` and 16 GiB.
type BytesFrom<const MIN: u64> = CountIn<MIN, { 16 * GIB }>;
/// A number of connections or streams.
type ConnectionCount = CountIn<1, 100_000>;
/// How long a peer or caller may keep the node waiting.
type WaitTime = MillisIn<100, 600_000>;

fn read_limits(limits: &mut Section<'_>) -> Limits {
    let mut read = Limits::default();
    // hyper does not accept buffers below 8 KiB for a head.
    limits.replace::<_, CountIn<8_192, MIB>>("header_bytes", &mut read.header_bytes);
    limits.replace::<_, CountIn<16, 1_000>>("header_count", &mut read.header_count);
    limits.replace::<_, ConnectionCount>("max_connections", &mut read.max_connections);
    limits.replace::<_, ConnectionCount>("max_peer_connections", &mut read.max_peer_connections);
    limits.replace::<_, CountIn<1, 10_000>>(
        "streams_per_connection",
        &mut read.streams_per_connection,
    );
    limits.replace::<_, WaitTime>("head_timeout_ms", &mut read.head_timeout_ms);
    limits.replace::<_, WaitTime>("body_timeout_ms", &mut read.body_timeout_ms);
    limits.replace::<_, MillisIn<1_000, 3_600_000>>("idle_timeout_ms", &mut read.idle_timeout_ms);
    limits.replace::<_, BytesFrom<MIB>>("buffered_bodies_bytes", &mut read.buffered_bodies_bytes);
    limits.replace::<_, BytesFrom<{ 64 * KIB }>>(
        "stored_answers_bytes",
        &mut read.stored_answers_bytes,
    );
    limits.replace::<_, CountIn<MIB, { 64 * MIB }>>("bulk_bytes", &mut read.bulk_bytes);
    limits.replace::<_, CountIn<1, 1_000>>("bulk_connections", &mut read.bulk_connections);
    read
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            targets: BTreeMap::new(),
            repeats_per_10_s: 50,
        }
    }
}

fn read_log(log: &mut Section<'_>) -> LogSettings {
    let mut read = LogSettings::default();
    log.replace::<_, LogLevel>("level", &mut read.level);
    read.targets = log.map::<_, LogLevel>("targets");
    log.replace::<_, CountIn<1, 1_000_000>>("repeats_per_10_s", &mut read.repeats_per_10_s);
    read
}

fn default_traffic_threads() -> usize {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    cores.min(DEFAULT_TRAFFIC_THREADS)
}

fn read_file(path: &Path) -> std::io::Result<String> {
    let mut text = String::new();
    let read = File::open(path)?
        .take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)?;
    if read as u64 > MAX_FILE_BYTES {
        return Err(std::io::Error::other("the file is larger than 1 MiB"));
    }
    Ok(text)
}
