//! The configuration text and the VM list as a source of routes and targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hornbeamhitch_dispatch::prelude::*;
use hornbeamhitch_edge::source::{Change, Changes, Fact, Listing, ReadFuture, Source, SourceFault};
use hornbeamhitch_node::platform::{PlatformReader, PublishedText, PublishedVms};
use hornbeamhitch_text::CheckedText;
use hornbeamhitch_types::prelude::ConfigVersion;
use hornbeamhitch_wire::control::{ListVersion, ListedVm};
use parking_lot::Mutex;

/// Slots of a target whose service the configuration text does not define (yet).
const UNKNOWN_SLOTS: u32 = 1;

/// Reads routes and targets from the native platform.
///
/// The platform has separate versions for the configuration text and the VM list. The
/// revision of this source is their sum, which grows with each change of either.
#[derive(Debug)]
pub struct NativeSource {
    reader: PlatformReader,
    published: Mutex<Published>,
}

/// The last text and list that were read.
#[derive(Debug)]
struct Published {
    /// All nodes listen for links at this port.
    link_port: u16,
    text: Option<CheckedText>,
    text_version: ConfigVersion,
    vms: Vec<ListedVm>,
    list_version: ListVersion,
}

impl NativeSource {
    /// Creates a source that has not read anything yet.
    #[must_use]
    pub const fn new(reader: PlatformReader, link_port: u16) -> Self {
        Self {
            reader,
            published: Mutex::new(Published {
                link_port,
                text: None,
                text_version: ConfigVersion(0),
                vms: Vec::new(),
                list_version: ListVersion(0),
            }),
        }
    }

    /// Reads the text and the list, whichever versions are known already.
    async fn read_text_and_vms(&self) -> Result<Listing, SourceFault> {
        let at_once = Millis::ZERO;
        let text = self.reader.text(ConfigVersion(0), at_once).await;
        let vms = self.reader.vms(None, ListVersion(0), at_once).await;
        let (text, vms) = (text.map_err(read_failed)?, vms.map_err(read_failed)?);
        let mut published = self.published.lock();
        if let Some(text) = text {
            published.apply_text(&text);
        }
        if let Some(vms) = vms {
            published.apply_vms(vms);
        }
        Ok(Listing {
            routes: published.routes(),
            members: published.members().into_values().collect(),
            // The platform publishes no evacuations.
            evacuated: BTreeSet::new(),
            revision: published.revision(),
            age_ms: Millis::ZERO,
        })
    }

    /// Waits until the text or the list changes, or until both waits time out.
    async fn watch_text_and_vms(&self, wait_ms: Millis) -> Result<Changes, SourceFault> {
        let read = self.next_change(wait_ms).await.map_err(read_failed)?;
        let mut published = self.published.lock();
        let members = published.members();
        let version = published.text_version;
        match read {
            Some(WatchEvent::Text(text)) => published.apply_text(&text),
            Some(WatchEvent::Vms(vms)) => published.apply_vms(vms),
            None => {}
        }
        let mut facts = Vec::new();
        if published.text_version > version {
            facts.extend(published.routes().map(Fact::Routes));
        }
        facts.extend(diff_members(&members, published.members()));
        let revision = published.revision();
        let changes = facts.into_iter().map(|fact| Change { revision, fact });
        Ok(Changes {
            changes: changes.collect(),
            revision,
            age_ms: Millis::ZERO,
        })
    }

    /// Returns the first change of the text or the list, or `None` when both waits time
    /// out.
    async fn next_change(&self, wait_ms: Millis) -> eyre::Result<Option<WatchEvent>> {
        let (text_version, list_version) = {
            let published = self.published.lock();
            (published.text_version, published.list_version)
        };
        let mut text = std::pin::pin!(self.reader.text(text_version, wait_ms));
        let mut vms = std::pin::pin!(self.reader.vms(None, list_version, wait_ms));
        tokio::select! {
            read = &mut text => match read? {
                Some(read) => Ok(Some(WatchEvent::Text(read))),
                None => Ok(vms.await?.map(WatchEvent::Vms)),
            },
            read = &mut vms => match read? {
                Some(read) => Ok(Some(WatchEvent::Vms(read))),
                None => Ok(text.await?.map(WatchEvent::Text)),
            },
        }
    }
}

impl Published {
    const fn revision(&self) -> Revision {
        // This platform never goes back, so there is one era.
        Revision::new(0, self.text_version.0 + self.list_version.0)
    }

    /// Applies a text. If it has faults, the previous one stays in force.
    fn apply_text(&mut self, read: &PublishedText) {
        self.text_version = read.version;
        if let Some(checked) = check(read) {
            self.text = Some(checked);
        }
    }

    fn apply_vms(&mut self, read: PublishedVms) {
        self.list_version = read.version;
        self.vms = read.vms;
    }

    fn routes(&self) -> Option<RouteSet> {
        let text = self.text.as_ref()?;
        Some(text.route_set(self.text_version.0))
    }

    /// Returns the listed targets with the settings of their services from the text.
    fn members(&self) -> BTreeMap<TargetId, Member> {
        let mut members = BTreeMap::new();
        for vm in &self.vms {
            if vm.peer.port() != self.link_port {
                log::warn!(
                    "ignoring VM {}: its links use port {} instead of {}",
                    vm.vm,
                    vm.peer.port(),
                    self.link_port
                );
                continue;
            }
            let member = self.member(vm);
            members.insert(member.id.clone(), member);
        }
        members
    }

    fn member(&self, vm: &ListedVm) -> Member {
        let text = self.text.as_ref();
        let service = text.and_then(|text| text.service(vm.service.as_str()));
        Member {
            // The list identifies VMs, not incarnations of their targets.
            id: TargetId::new(vm.vm.as_str()),
            service: vm.service.clone(),
            address: vm.peer,
            data_centre: vm.data_centre.clone(),
            slots: service.map_or(UNKNOWN_SLOTS, |service| service.slots),
            draining: vm.leaving,
            listing_order: Revision::ZERO,
            started_at_ms: None,
        }
    }
}

/// The result of a watch.
enum WatchEvent {
    Text(PublishedText),
    Vms(PublishedVms),
}

impl Source for NativeSource {
    fn read_all(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing> {
        Box::pin(with_timeout(
            idle_timeout_ms.to_duration(),
            self.read_text_and_vms(),
        ))
    }

    fn read_stale(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing> {
        // This platform has no cheaper stale read.
        self.read_all(idle_timeout_ms)
    }

    fn watch(
        &self,
        after: Revision,
        wait_ms: Millis,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'_, Changes> {
        let limit = wait_ms.to_duration() + idle_timeout_ms.to_duration();
        Box::pin(with_timeout(limit, async move {
            let known = self.published.lock().revision();
            if after != known {
                // Changes are computed against the last read of this node, but the
                // caller has learned of changes up to another revision from its peers.
                return Err(SourceFault::HistoryGone);
            }
            self.watch_text_and_vms(wait_ms).await
        }))
    }

    fn read_target<'a>(
        &'a self,
        id: &'a TargetId,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'a, Option<Member>> {
        Box::pin(with_timeout(idle_timeout_ms.to_duration(), async move {
            let read = self.reader.vms(None, ListVersion(0), Millis::ZERO).await;
            let Some(read) = read.map_err(read_failed)? else {
                return Ok(None);
            };
            let published = self.published.lock();
            let vm = read.vms.iter().find(|vm| vm.vm.as_str() == id.as_str());
            Ok(vm.map(|vm| published.member(vm)))
        }))
    }

    fn read_routes(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Option<RouteSet>> {
        Box::pin(with_timeout(idle_timeout_ms.to_duration(), async move {
            let read = self.reader.text(ConfigVersion(0), Millis::ZERO).await;
            Ok(read.map_err(read_failed)?.as_ref().and_then(route_set))
        }))
    }

    fn is_receiving(&self) -> bool {
        // A time limit holds for each answer as a whole.
        false
    }
}

/// Returns the routes of a text, or `None` if it has faults.
fn route_set(read: &PublishedText) -> Option<RouteSet> {
    let checked = check(read)?;
    Some(checked.route_set(read.version.0))
}

/// Checks a text. Logs the faults and returns `None` if it has any.
fn check(read: &PublishedText) -> Option<CheckedText> {
    match hornbeamhitch_text::check(&read.text) {
        Ok(checked) => Some(checked),
        Err(faults) => {
            log::error!(version = read.version.0; "the text cannot be used: {faults}");
            None
        }
    }
}

/// Aborts a read after `limit`. Texts and lists are small enough for one limit on the
/// whole answer.
async fn with_timeout<T>(
    limit: Duration,
    reading: impl Future<Output = Result<T, SourceFault>>,
) -> Result<T, SourceFault> {
    let read = tokio::time::timeout(limit, reading).await;
    read.unwrap_or_else(|_| Err(SourceFault::Failed("no answer in time".to_owned())))
}

fn diff_members(
    before: &BTreeMap<TargetId, Member>,
    current: BTreeMap<TargetId, Member>,
) -> Vec<Fact> {
    let removed = before.keys().filter(|id| !current.contains_key(*id));
    let mut facts: Vec<Fact> = removed.cloned().map(Fact::Removed).collect();
    for (id, member) in current {
        if before.get(&id) != Some(&member) {
            facts.push(Fact::Listed(member));
        }
    }
    facts
}

fn read_failed(error: eyre::Report) -> SourceFault {
    SourceFault::Failed(format!("{error:#}"))
}
