//! The text and the VM list as the source of routes and targets.

use std::collections::BTreeMap;

use hornbeamhitch_dispatch::prelude::*;
use hornbeamhitch_edge::source::{Change, Changes, Fact, Listing, Reading, Source, SourceFault};
use hornbeamhitch_node::platform::{PlatformReader, PublishedText, PublishedVms};
use hornbeamhitch_text::CheckedText;
use hornbeamhitch_types::prelude::ConfigVersion;
use hornbeamhitch_wire::control::{ListVersion, ListedVm};

/// Slots of a target whose service the text does not know (yet).
const UNKNOWN_SLOTS: u32 = 1;

/// Reads our platform.
///
/// It counts versions of the text and of the list; their sum is the one revision
/// that a source has, since it rises with each change of either.
#[derive(Debug)]
pub struct OwnSource {
    reader: PlatformReader,
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
            links_port,
            text: None,
            text_version: ConfigVersion(0),
            vms: Vec::new(),
            list_version: ListVersion(0),
        }
    }

    const fn revision(&self) -> u64 {
        self.text_version.0 + self.list_version.0
    }

    /// Reads both, whatever is known.
    async fn read_both(&mut self) -> Result<Listing, SourceFault> {
        let at_once = Millis::ZERO;
        let text = self.reader.text(ConfigVersion(0), at_once).await;
        let vms = self.reader.vms(None, ListVersion(0), at_once).await;
        if let Some(text) = text.map_err(failed)? {
            self.take_text(&text);
        }
        if let Some(vms) = vms.map_err(failed)? {
            self.take_vms(vms);
        }
        Ok(Listing {
            routes: self.routes(),
            members: self.members().into_values().collect(),
            revision: self.revision(),
        })
    }

    /// Waits until one of both changes.
    async fn watch_both(&mut self, wait_ms: Millis) -> Result<Changes, SourceFault> {
        let members = self.members();
        let version = self.text_version;
        match self.next(wait_ms).await.map_err(failed)? {
            Some(Read::Text(text)) => self.take_text(&text),
            Some(Read::Vms(vms)) => self.take_vms(vms),
            None => {}
        }
        let mut facts = Vec::new();
        if self.text_version > version {
            facts.extend(self.routes().map(Fact::Routes));
        }
        facts.extend(difference(&members, self.members()));
        let revision = self.revision();
        let changes = facts.into_iter().map(|fact| Change { revision, fact });
        Ok(Changes {
            changes: changes.collect(),
            revision,
        })
    }

    /// The first change of either; `None` when both waits have passed.
    async fn next(&self, wait_ms: Millis) -> eyre::Result<Option<Read>> {
        let mut text = std::pin::pin!(self.reader.text(self.text_version, wait_ms));
        let mut vms = std::pin::pin!(self.reader.vms(None, self.list_version, wait_ms));
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

    /// A text with faults leaves the one before in force.
    fn take_text(&mut self, read: &PublishedText) {
        self.text_version = read.version;
        match hornbeamhitch_text::check(&read.text) {
            Ok(checked) => self.text = Some(checked),
            Err(faults) => {
                log::error!(version = read.version.0; "the text cannot be used: {faults}");
            }
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
    fn read_all(&mut self) -> Reading<'_, Listing> {
        Box::pin(self.read_both())
    }

    fn watch(&mut self, after: u64, wait_ms: Millis) -> Reading<'_, Changes> {
        Box::pin(async move {
            if after != self.revision() {
                // The difference is told from what was read last, and the caller
                // has heard of more from others.
                return Err(SourceFault::HistoryGone);
            }
            self.watch_both(wait_ms).await
        })
    }
}

fn difference(before: &BTreeMap<TargetId, Member>, now: BTreeMap<TargetId, Member>) -> Vec<Fact> {
    let gone = before.keys().filter(|id| !now.contains_key(*id));
    let mut facts: Vec<Fact> = gone.cloned().map(Fact::Left).collect();
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
