//! Upper bounds of the delays between a change at the source and its use on every node.
//!
//! The source confirms a change, a node's read is answered, that node informs its
//! subscribers, and these apply the change. The age of what a node applies is the sum of
//! the delays on the path that was really taken, and the worst path combines several
//! faults: a read without an answer, a reader that ends, and a backoff after a failed
//! read. So each delay is a share of the one time within which a change must be in force,
//! and the shares on each path add up to less than that time. A delay with a fixed value
//! of its own would break this.
//!
//! The time to transfer a large answer over a link is not included.

use crate::prelude::*;

/// Number of steps in which the number of probes doubles while readers cannot read the
/// source.
pub const OUTAGE_PROBE_STEPS: u32 = 5;
/// Shares in percent of the time within which a change must be in force.
const REFRESH_INTERVAL: u64 = 30;
const LED_READER_MAX_AGE: u64 = 42;
const IDLE_TIMEOUT: u64 = 20;
const INITIAL_BACKOFF: u64 = 7;
const MAX_BACKOFF: u64 = 20;
const FOLLOWER_MAX_BACKOFF: u64 = 50;
const RESERVE_MAX_AGE: u64 = 50;
const FOLLOWER_MAX_AGE: u64 = 64;
const LOST_READERS_DELAY: u64 = 10;
const PUBLISH_INTERVAL: u64 = 12;
const READER_TIMEOUT: u64 = 40;
const PART_TIMEOUT: u64 = 8;
const PARTS_MAX_STALL: u64 = 20;
const PART_RETRY: u64 = 4;
const ROUTES_MAX_LAG: u64 = 50;
const RELAYED_REMOVAL_HOLD: u64 = 40;
const OWN_HEALTH_INTERVAL: u64 = 10;
const OWN_ENTRY_INTERVAL: u64 = 40;
const STARTUP_MAX_STALE: u64 = 50;
const MAX_OUTAGE: u64 = 400;
const FIRST_OUTAGE_PROBE: u64 = 56;
const OUTAGE_PROBE_STEP: u64 = 4;
const WHOLE: u64 = 100;

/// A read that is lost as it begins: its timeout, a backoff, and the read that replaces
/// it.
const _: () = assert!(REFRESH_INTERVAL + IDLE_TIMEOUT + INITIAL_BACKOFF + IDLE_TIMEOUT < WHOLE);
/// The same on a reader whose leader has ended.
const _: () = assert!(LED_READER_MAX_AGE + IDLE_TIMEOUT + INITIAL_BACKOFF + IDLE_TIMEOUT < WHOLE);
/// The source recovers just after a read was lost.
const _: () = assert!(IDLE_TIMEOUT + MAX_BACKOFF + IDLE_TIMEOUT < WHOLE);
/// The same on a follower whose readers ended as the source recovered.
const _: () = assert!(IDLE_TIMEOUT + FOLLOWER_MAX_BACKOFF + IDLE_TIMEOUT < WHOLE);
/// A large configuration whose parts no node sends, so that it is read from the source.
const _: () = assert!(
    REFRESH_INTERVAL
        + PUBLISH_INTERVAL
        + PARTS_MAX_STALL
        + PART_TIMEOUT
        + INITIAL_BACKOFF
        + IDLE_TIMEOUT
        < WHOLE
);
/// A configuration whose parts arrive slowly, after a debounce interval at the reader. The
/// whole text is confirmed to the operator no earlier than a reader receives it.
const _: () = assert!(REFRESH_INTERVAL + PUBLISH_INTERVAL + ROUTES_MAX_LAG < WHOLE);
/// A node that waits for parts which it is about to send answers in time.
const _: () = assert!(PART_RETRY < PART_TIMEOUT);
/// Readers whose state becomes too old, for whatever reason, even if they do not report
/// it.
const _: () = assert!(FOLLOWER_MAX_AGE + LOST_READERS_DELAY + IDLE_TIMEOUT < WHOLE);
/// A node that probes the source last of all, since the others were rejected.
const _: () = assert!(
    FIRST_OUTAGE_PROBE + (OUTAGE_PROBE_STEPS as u64 - 1) * OUTAGE_PROBE_STEP + IDLE_TIMEOUT < WHOLE
);
/// While a substitute reads for the readers, updates arrive before others probe too.
const _: () = assert!(REFRESH_INTERVAL + 2 * PUBLISH_INTERVAL < FIRST_OUTAGE_PROBE);
/// Readers that stop sending just after an update.
const _: () = assert!(READER_TIMEOUT + LOST_READERS_DELAY + IDLE_TIMEOUT < WHOLE);
/// A removal that a failing reader relays: the read, two updates, and the hold.
const _: () = assert!(REFRESH_INTERVAL + 2 * PUBLISH_INTERVAL + RELAYED_REMOVAL_HOLD < WHOLE);
/// A gate's own target that leaves just after its entry was looked up.
const _: () = assert!(OWN_HEALTH_INTERVAL + OWN_ENTRY_INTERVAL + IDLE_TIMEOUT < WHOLE);
/// A node that has just started, whose last stale read is lost.
const _: () = assert!(STARTUP_MAX_STALE + IDLE_TIMEOUT + IDLE_TIMEOUT < WHOLE);
/// Without faults, readers send updates before any other node considers them lost.
const _: () = assert!(
    REFRESH_INTERVAL < LED_READER_MAX_AGE && REFRESH_INTERVAL + PUBLISH_INTERVAL < RESERVE_MAX_AGE
);
/// A led reader polls in place of its leader before reserves consider the readers lost.
const _: () = assert!(LED_READER_MAX_AGE < RESERVE_MAX_AGE);
/// Readers report that the source is unavailable before their followers poll it too.
const _: () = assert!(LED_READER_MAX_AGE + IDLE_TIMEOUT < FOLLOWER_MAX_AGE);

/// Timeouts and intervals, derived from the time within which changes must be in force.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    in_force_ms: Millis,
}

impl Waits {
    /// Creates the waits for changes that must be in force within this time.
    #[must_use]
    pub const fn new(in_force_ms: Millis) -> Self {
        Self { in_force_ms }
    }

    /// Returns the time from one complete answer of the source until the next is due.
    ///
    /// Guards against a source that accepts a watch and then stops responding. Until the
    /// watch is over, a source without changes and a source that is gone look the same,
    /// and all that is published after its return stays unknown.
    #[must_use]
    pub const fn refresh_interval_ms(&self) -> Millis {
        self.share(REFRESH_INTERVAL)
    }

    /// Returns the age of its state at which a led reader polls the source itself.
    #[must_use]
    pub const fn led_reader_max_age_ms(&self) -> Millis {
        self.share(LED_READER_MAX_AGE)
    }

    /// Returns the time after which an answer that is due counts as lost, if it does not
    /// begin or does not continue.
    #[must_use]
    pub const fn idle_timeout_ms(&self) -> Millis {
        self.share(IDLE_TIMEOUT)
    }

    /// Returns the backoff after the first failed read; it is doubled with each further
    /// one.
    #[must_use]
    pub const fn initial_backoff_ms(&self) -> Millis {
        self.share(INITIAL_BACKOFF)
    }

    /// Returns the longest backoff after a failed read.
    #[must_use]
    pub const fn max_backoff_ms(&self) -> Millis {
        self.share(MAX_BACKOFF)
    }

    /// Returns the longest backoff of a node that relies on other readers. It is longer
    /// since these nodes are many, and all of them fail together while the source is
    /// unavailable.
    #[must_use]
    pub const fn follower_max_backoff_ms(&self) -> Millis {
        self.share(FOLLOWER_MAX_BACKOFF)
    }

    /// Returns the age of its state at which a reserve reads for itself.
    #[must_use]
    pub const fn reserve_max_age_ms(&self) -> Millis {
        self.share(RESERVE_MAX_AGE)
    }

    /// Returns the age of its state at which any other follower reads for itself.
    #[must_use]
    pub const fn follower_max_age_ms(&self) -> Millis {
        self.share(FOLLOWER_MAX_AGE)
    }

    /// Returns how long a node that has just started serves from a stale listing at most,
    /// before it reads for itself.
    #[must_use]
    pub const fn startup_max_stale_ms(&self) -> Millis {
        self.share(STARTUP_MAX_STALE)
    }

    /// Returns the same limit for a node whose listings contain no configuration, so that
    /// it acts on nothing.
    #[must_use]
    pub const fn unconfigured_max_stale_ms(&self) -> Millis {
        self.share(WHOLE)
    }

    /// Returns how long a node whose readers and reserves all fail leaves polling to
    /// them.
    #[must_use]
    pub const fn max_outage_ms(&self) -> Millis {
        self.share(MAX_OUTAGE)
    }

    /// Returns the time within which a change must be in force.
    #[must_use]
    pub const fn in_force_ms(&self) -> Millis {
        self.in_force_ms
    }

    /// Returns the age of its state at which a node probes the source although its readers
    /// cannot read it, in one of [`OUTAGE_PROBE_STEPS`] steps.
    #[must_use]
    pub const fn outage_probe_age_ms(&self, step: u32) -> Millis {
        self.share(FIRST_OUTAGE_PROBE + step as u64 * OUTAGE_PROBE_STEP)
    }

    /// Returns the delay after which a node that lost its readers reads for itself. A
    /// reader whose read failed reads again within this time, so that one failed call of
    /// a reader does not cause a call of each of its subscribers.
    #[must_use]
    pub const fn lost_readers_delay_ms(&self) -> Millis {
        self.share(LOST_READERS_DELAY)
    }

    /// Returns the maximum interval between two updates of a reader to its subscribers.
    #[must_use]
    pub const fn publish_interval_ms(&self) -> Millis {
        self.share(PUBLISH_INTERVAL)
    }

    /// Returns the time without updates after which a reader counts as lost. It sends
    /// three updates in this time, so the loss of one packet, which is resent, is
    /// tolerated.
    #[must_use]
    pub const fn reader_timeout_ms(&self) -> Millis {
        self.share(READER_TIMEOUT)
    }

    /// Returns the time after which a node that sends parts of a configuration counts as
    /// lost, if the next part does not arrive.
    #[must_use]
    pub const fn part_timeout_ms(&self) -> Millis {
        self.share(PART_TIMEOUT)
    }

    /// Returns the time without any new part after which a node reads a large configuration
    /// from the source.
    #[must_use]
    pub const fn parts_max_stall_ms(&self) -> Millis {
        self.share(PARTS_MAX_STALL)
    }

    /// Returns the longest pause until nodes that had no part are asked again, and the time
    /// for which they wait for one that they are about to receive.
    #[must_use]
    pub const fn part_retry_ms(&self) -> Millis {
        self.share(PART_RETRY)
    }

    /// Returns the time from which on a node uses no routes older than the newest configuration
    /// that it knows of, counted from when it first knew of that configuration.
    #[must_use]
    pub const fn routes_max_lag_ms(&self) -> Millis {
        self.share(ROUTES_MAX_LAG)
    }

    /// Returns how long a removal is held if a failing reader relayed it.
    #[must_use]
    pub const fn relayed_removal_hold_ms(&self) -> Millis {
        self.share(RELAYED_REMOVAL_HOLD)
    }

    /// Returns the maximum interval between two health checks of a gate's target while
    /// the gate starts calls.
    #[must_use]
    pub const fn own_health_interval_ms(&self) -> Millis {
        self.share(OWN_HEALTH_INTERVAL)
    }

    /// Returns the interval between two lookups of the target's entry while the target is
    /// unhealthy.
    #[must_use]
    pub const fn own_entry_interval_ms(&self) -> Millis {
        self.share(OWN_ENTRY_INTERVAL)
    }

    const fn share(&self, percent: u64) -> Millis {
        Millis(self.in_force_ms.0 * percent / WHOLE)
    }
}
