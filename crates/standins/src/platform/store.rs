//! The published values with their versions, and the selection of those that
//! readers are shown.

use std::collections::VecDeque;

use tokio::sync::watch;

use crate::prelude::*;

use super::MAX_VALUE_BYTES;
use super::behaviour::{Behaviour, View};
use super::vms::{VmEntry, VmList, VmState};

const MAX_OLD_LISTS: usize = 256;

/// A configuration text and its version.
#[derive(Clone, Debug)]
pub(super) struct Text {
    pub(super) version: u64,
    pub(super) text: Bytes,
}

/// Published values and behaviour under one lock, with a signal for watches.
pub(super) struct Store {
    clock: ProcessClock,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

struct State {
    text: Option<Text>,
    /// VM lists from oldest to newest; the last is the current one.
    lists: VecDeque<DatedList>,
    behaviour: Behaviour,
    frozen: Option<Frozen>,
}

struct DatedList {
    set_at: Millis,
    list: Arc<VmList>,
}

struct Frozen {
    text: Option<Text>,
    vms: Arc<VmList>,
}

impl Store {
    pub(super) fn new(clock: ProcessClock) -> Self {
        let first = DatedList {
            set_at: Millis::ZERO,
            list: Arc::default(),
        };
        let state = State {
            text: None,
            lists: VecDeque::from([first]),
            behaviour: Behaviour::default(),
            frozen: None,
        };
        Self {
            clock,
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns a receiver that is notified of each change of values or behaviour.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn signal(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(super) fn set_text(&self, text: &str, version: Option<u64>) -> Result<u64> {
        ensure!(
            text.len() <= MAX_VALUE_BYTES,
            "the text has {} bytes, above {MAX_VALUE_BYTES}",
            text.len()
        );
        let mut state = self.state.lock();
        let current = state.text.as_ref().map_or(0, |text| text.version);
        let version = version.unwrap_or(current + 1);
        ensure!(
            version > current,
            "version {version} is not above the present {current}"
        );
        state.text = Some(Text {
            version,
            text: Bytes::copy_from_slice(text.as_bytes()),
        });
        drop(state);
        self.signal();
        Ok(version)
    }

    pub(super) fn set_vms(&self, vms: Vec<VmEntry>) -> Result<u64> {
        let size_bytes = serde_json::to_vec(&vms)?.len();
        ensure!(
            size_bytes <= MAX_VALUE_BYTES,
            "the VM list has {size_bytes} bytes, above {MAX_VALUE_BYTES}"
        );
        let now = self.clock.now();
        let mut state = self.state.lock();
        let version = state.latest_list().version + 1;
        state.lists.push_back(DatedList {
            set_at: now,
            list: Arc::new(VmList { version, vms }),
        });
        if state.lists.len() > MAX_OLD_LISTS {
            state.lists.pop_front();
        }
        drop(state);
        self.signal();
        Ok(version)
    }

    pub(super) fn set_vm_state(&self, vm: &str, vm_state: VmState) -> Result<u64> {
        let mut vms = self.latest_vms().vms;
        let Some(entry) = vms.iter_mut().find(|entry| entry.vm == vm) else {
            bail!("no VM {vm} is listed");
        };
        entry.state = vm_state;
        self.set_vms(vms)
    }

    pub(super) fn remove_vm(&self, vm: &str) -> Result<u64> {
        let mut vms = self.latest_vms().vms;
        let before = vms.len();
        vms.retain(|entry| entry.vm != vm);
        ensure!(vms.len() < before, "no VM {vm} is listed");
        self.set_vms(vms)
    }

    pub(super) fn latest_vms(&self) -> VmList {
        let state = self.state.lock();
        VmList::clone(state.latest_list())
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        self.state.lock().behaviour.clone()
    }

    pub(super) fn set_behaviour(&self, behaviour: Behaviour) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let was_frozen = state.behaviour.view == View::Frozen;
        if behaviour.view != View::Frozen {
            state.frozen = None;
        } else if !was_frozen {
            state.frozen = Some(Frozen {
                text: state.visible_text(),
                vms: state.visible_vms(now),
            });
        }
        state.behaviour = behaviour;
        drop(state);
        self.signal();
    }

    /// Returns the configuration text that readers are shown.
    pub(super) fn visible_text(&self) -> Option<Text> {
        self.state.lock().visible_text()
    }

    /// Returns the VM list that readers are shown.
    pub(super) fn visible_vms(&self) -> Arc<VmList> {
        self.state.lock().visible_vms(self.clock.now())
    }

    /// Returns the time until the next delayed VM list becomes visible.
    pub(super) fn next_list_in(&self) -> Option<Millis> {
        let now = self.clock.now();
        let state = self.state.lock();
        let lag = Millis(state.behaviour.vm_list_lag_ms);
        for dated in &state.lists {
            let due = dated.set_at + lag;
            if due > now {
                return Some(due.since(now));
            }
        }
        None
    }
}

impl State {
    fn latest_list(&self) -> &Arc<VmList> {
        let latest = self.lists.back();
        &latest.expect("the first list is never removed alone").list
    }

    fn visible_text(&self) -> Option<Text> {
        match (&self.behaviour.view, &self.frozen) {
            (View::Frozen, Some(frozen)) => frozen.text.clone(),
            (View::Older(old), _) => match &old.text {
                Some(old) => Some(Text {
                    version: old.version,
                    text: Bytes::copy_from_slice(old.text.as_bytes()),
                }),
                None => self.text.clone(),
            },
            _ => self.text.clone(),
        }
    }

    fn visible_vms(&self, now: Millis) -> Arc<VmList> {
        match (&self.behaviour.view, &self.frozen) {
            (View::Frozen, Some(frozen)) => Arc::clone(&frozen.vms),
            (View::Older(old), _) => match &old.vms {
                Some(old) => Arc::new(VmList {
                    version: old.version,
                    vms: old.vms.clone(),
                }),
                None => self.lagging_vms(now),
            },
            _ => self.lagging_vms(now),
        }
    }

    fn lagging_vms(&self, now: Millis) -> Arc<VmList> {
        let lag = Millis(self.behaviour.vm_list_lag_ms);
        for dated in self.lists.iter().rev() {
            if dated.set_at + lag > now {
                continue;
            }
            return Arc::clone(&dated.list);
        }
        let oldest = self.lists.front();
        Arc::clone(&oldest.expect("the first list is never removed alone").list)
    }
}
