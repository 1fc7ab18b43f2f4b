//! The text and the VM list as the source of routes and targets.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeamhitch_dispatch::prelude::*;
use hornbeamhitch_edge::source::{Change, Changes, Fact, Listing, ReadFuture, Source, SourceFault};
use hornbeamhitch_node::platform::{PlatformReader, PublishedText, PublishedVms};
use hornbeamhitch_text::CheckedText;
use hornbeamhitch_types::prelude::ConfigVersion;
use hornbeamhitch_wire::control::{ListVersion, ListedVm};
use parking_lot::Mutex;

/// Slots of a target whose service the text does not know (yet).
const UNKNOWN_SLOTS: u32 = 1;

/// Reads our platform.
///
/// It counts versions of the text and of the list; their sum is the one revision
/// that a source has, since it rises with each change of either.
#[derive(Debug)]
pub struct OwnSource {
    reader: PlatformReader,
    published: Mutex<Published>,
}

/// What was read last.
#[derive(Debug)]
struct Published {
    /// All nodes have their links at this port.
    links_port: u16,
    text: Option<CheckedText>,
    text_version: ConfigVersion,
    vms: Vec<ListedVm>,
    list_version: ListVersion,
}

impl OwnSource {
    /// A source that has read nothing.
    #[must_use]
    pub const fn new(reader: PlatformReader, links_port: u16) -> Self {
        Self {
            reader,
            published: Mutex::new(Published {
                links_port,
                text: None,
                text_version: ConfigVersion(0),
                vms: Vec::new(),
                list_version: ListVersion(0),
            }),
        }
    }

    /// Reads both, whatever is known.
    async fn read_both(&self) -> Result<Listing, SourceFault> {
        let at_once = Millis::ZERO;
        let text = self.reader.text(ConfigVersion(0), at_once).await;
        let vms = self.reader.vms(None, ListVersion(0), at_once).await;
        let (text, vms) = (text.map_err(failed)?, vms.map_err(failed)?);
        let mut published = self.published.lock();
        if let Some(text) = text {
            published.take_text(&text);
        }
        if let Some(vms) = vms {
            published.take_vms(vms);
        }
        Ok(Listing {
            routes: published.routes(),
            members: published.members().into_values().collect(),
            revision: published.revision(),
            age_ms: Millis::ZERO,
        })
    }

    /// Waits until one of both changes.
    async fn watch_both(&self, wait_ms: Millis) -> Result<Changes, SourceFault> {
        let read = self.next(wait_ms).await.map_err(failed)?;
        let mut published = self.published.lock();
        let members = published.members();
        let version = published.text_version;
        match read {
            Some(Read::Text(text)) => published.take_text(&text),
            Some(Read::Vms(vms)) => published.take_vms(vms),
            None => {}
        }
        let mut facts = Vec::new();
        if published.text_version > version {
            facts.extend(published.routes().map(Fact::Routes));
        }
        facts.extend(difference(&members, published.members()));
        let revision = published.revision();
        let changes = facts.into_iter().map(|fact| Change { revision, fact });
        Ok(Changes {
            changes: changes.collect(),
            revision,
            age_ms: Millis::ZERO,
        })
    }

    /// The first change of either; `None` when both waits have passed.
    async fn next(&self, wait_ms: Millis) -> eyre::Result<Option<Read>> {
        let (text_version, list_version) = {
            let published = self.published.lock();
            (published.text_version, published.list_version)
        };
        let mut text = std::pin::pin!(self.reader.text(text_version, wait_ms));
        let mut vms = std::pin::pin!(self.reader.vms(None, list_version, wait_ms));
        tokio::select! {
            read = &mut text => match read? {
                Some(read) => Ok(Some(Read::Text(read))),
                None => Ok(vms.await?.map(Read::Vms)),
            },
            read = &mut vms => match read? {
                Some(read) => Ok(Some(Read::Vms(read))),
                None => Ok(text.await?.map(Read::Text)),
            },
        }
    }
}

impl Published {
    const fn revision(&self) -> u64 {
        self.text_version.0 + self.list_version.0
    }

    /// A text with faults leaves the one before in force.
    fn take_text(&mut self, read: &PublishedText) {
        self.text_version = read.version;
        if let Some(checked) = check(read) {
            self.text = Some(checked);
        }
    }

    fn take_vms(&mut self, read: PublishedVms) {
        self.list_version = read.version;
        self.vms = read.vms;
    }

    fn routes(&self) -> Option<RouteSet> {
        let text = self.text.as_ref()?;
        Some(text.route_set(self.text_version.0))
    }

    /// The listed targets with what the text says of their services.
    fn members(&self) -> BTreeMap<TargetId, Member> {
        let mut members = BTreeMap::new();
        for vm in &self.vms {
            if vm.peer.port() != self.links_port {
                log::warn!(
                    "the VM {} is left out: its links are at port {} and not {}",
                    vm.vm,
                    vm.peer.port(),
                    self.links_port
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
            // The list knows VMs and no single lives of their targets.
            id: TargetId::new(vm.vm.as_str()),
            service: vm.service.clone(),
            address: vm.peer,
            data_centre: vm.data_centre.clone(),
            slots: service.map_or(UNKNOWN_SLOTS, |service| service.slots),
            draining: vm.leaving,
            listed_at: 0,
            born_ms: None,
        }
    }
}

/// What a watch brought.
enum Read {
    Text(PublishedText),
    Vms(PublishedVms),
}

impl Source for OwnSource {
    fn read_all(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing> {
        Box::pin(unless_silent(
            idle_timeout_ms.to_duration(),
            self.read_both(),
        ))
    }

    fn read_stale(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Listing> {
        // This platform has no cheaper read.
        self.read_all(idle_timeout_ms)
    }

    fn watch(
        &self,
        after: u64,
        wait_ms: Millis,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'_, Changes> {
        let limit = wait_ms.to_duration() + idle_timeout_ms.to_duration();
        Box::pin(unless_silent(limit, async move {
            let known = self.published.lock().revision();
            if after != known {
                // The difference is told from what was read last, and the caller
                // has heard of more from others.
                return Err(SourceFault::HistoryGone);
            }
            self.watch_both(wait_ms).await
        }))
    }

    fn read_target<'a>(
        &'a self,
        id: &'a TargetId,
        idle_timeout_ms: Millis,
    ) -> ReadFuture<'a, Option<Member>> {
        Box::pin(unless_silent(idle_timeout_ms.to_duration(), async move {
            let read = self.reader.vms(None, ListVersion(0), Millis::ZERO).await;
            let Some(read) = read.map_err(failed)? else {
                return Ok(None);
            };
            let published = self.published.lock();
            let vm = read.vms.iter().find(|vm| vm.vm.as_str() == id.as_str());
            Ok(vm.map(|vm| published.member(vm)))
        }))
    }

    fn read_routes(&self, idle_timeout_ms: Millis) -> ReadFuture<'_, Option<RouteSet>> {
        Box::pin(unless_silent(idle_timeout_ms.to_duration(), async move {
            let read = self.reader.text(ConfigVersion(0), Millis::ZERO).await;
            Ok(read.map_err(failed)?.as_ref().and_then(route_set))
        }))
    }
}

/// The routes of a text; `None` for one with faults.
fn route_set(read: &PublishedText) -> Option<RouteSet> {
    let checked = check(read)?;
    Some(checked.route_set(read.version.0))
}

/// Checks a text; `None` for one with faults, which are written down.
fn check(read: &PublishedText) -> Option<CheckedText> {
    match hornbeamhitch_text::check(&read.text) {
        Ok(checked) => Some(checked),
        Err(faults) => {
            log::error!(version = read.version.0; "the text cannot be used: {faults}");
            None
        }
    }
}

/// Gives a read up after this time. Texts and lists are small enough for one limit on the
/// whole answer.
async fn unless_silent<T>(
    limit: Duration,
    reading: impl Future<Output = Result<T, SourceFault>>,
) -> Result<T, SourceFault> {
    let read = tokio::time::timeout(limit, reading).await;
    read.unwrap_or_else(|_| Err(SourceFault::Failed("no answer in time".to_owned())))
}

fn difference(before: &BTreeMap<TargetId, Member>, now: BTreeMap<TargetId, Member>) -> Vec<Fact> {
    let gone = before.keys().filter(|id| !now.contains_key(*id));
    let mut facts: Vec<Fact> = gone.cloned().map(Fact::Removed).collect();
    for (id, member) in now {
        if before.get(&id) != Some(&member) {
            facts.push(Fact::Listed(member));
        }
    }
    facts
}

fn failed(error: eyre::Report) -> SourceFault {
    SourceFault::Failed(format!("{error:#}"))
}
