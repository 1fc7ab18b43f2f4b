//! The longest waits on a change's way from the source into force.
//!
//! A change is confirmed by the source; a node's read is answered, the node tells others,
//! and these act on it. What a node acts on is as old as the sum of the waits on the way
//! that was really taken, and the worst way meets several troubles: a read that nobody
//! answers, a reader that ends, a pause after a failed read. So each wait is a share of the
//! one time in which a change must be in force, and the shares of each way add up to less
//! than the whole. What breaks this is a wait with a figure of its own beside them.
//!
//! Not contained is what a line takes to carry a large answer.

use crate::prelude::*;

/// Shares in percent of the time in which a change must be in force.
const RENEWAL: u64 = 30;
const OLDEST_LED: u64 = 42;
const SILENCE: u64 = 20;
const FIRST_PAUSE: u64 = 7;
const LONGEST_PAUSE: u64 = 20;
const FOLLOWERS_PAUSE: u64 = 50;
const OLDEST_RESERVE: u64 = 50;
const OLDEST_TOLD: u64 = 64;
const LOST_READERS_PAUSE: u64 = 10;
const TELL_AGAIN: u64 = 12;
const READER_SILENCE: u64 = 40;
const HEARSAY_HOLD: u64 = 40;
const OWN_HEALTH: u64 = 10;
const OWN_ENTRY: u64 = 40;
const LONGEST_STALE: u64 = 50;
const LONGEST_OUTAGE: u64 = 400;
const WHOLE: u64 = 100;

/// A read that is lost as it begins: its end, a pause, and the read that replaces it.
const _: () = assert!(RENEWAL + SILENCE + FIRST_PAUSE + SILENCE < WHOLE);
/// The same at a reader that relied on another, which has ended.
const _: () = assert!(OLDEST_LED + SILENCE + FIRST_PAUSE + SILENCE < WHOLE);
/// The source is back just after a read was lost.
const _: () = assert!(SILENCE + LONGEST_PAUSE + SILENCE < WHOLE);
/// The same at a node that others tell, whose readers ended as the source came back.
const _: () = assert!(SILENCE + FOLLOWERS_PAUSE + SILENCE < WHOLE);
/// Readers whose knowledge grows old, for whatever reason, also unsaid.
const _: () = assert!(OLDEST_TOLD + LOST_READERS_PAUSE + SILENCE < WHOLE);
/// Readers that fall silent just after they told.
const _: () = assert!(READER_SILENCE + LOST_READERS_PAUSE + SILENCE < WHOLE);
/// A removal that a reader tells in trouble: the read, two tellings, the hold.
const _: () = assert!(RENEWAL + 2 * TELL_AGAIN + HEARSAY_HOLD < WHOLE);
/// A gate's own target that leaves just after its entry was looked up.
const _: () = assert!(OWN_HEALTH + OWN_ENTRY + SILENCE < WHOLE);
/// A node that has just started, whose last stale read is lost.
const _: () = assert!(LONGEST_STALE + SILENCE + SILENCE < WHOLE);
/// In calm times readers tell before anybody takes them for lost.
const _: () = assert!(RENEWAL < OLDEST_LED && RENEWAL + TELL_AGAIN < OLDEST_RESERVE);
/// A reader takes the place of another before those who are told miss it.
const _: () = assert!(OLDEST_LED < OLDEST_RESERVE);
/// Readers say that the source is away before those who are told ask it as well.
const _: () = assert!(OLDEST_LED + SILENCE < OLDEST_TOLD);

/// How long a node waits for what, given the time in which changes must be in force.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    in_force_ms: Millis,
}

impl Waits {
    /// Waits for changes that must be in force within this time.
    #[must_use]
    pub const fn new(in_force_ms: Millis) -> Self {
        Self { in_force_ms }
    }

    /// From one complete answer of the source to when the next is due.
    ///
    /// Failure answered: the source takes a watch and falls silent. Nothing new and no
    /// source look alike until the watch is over, and all that is published after the
    /// source's return is unknown for as long.
    #[must_use]
    pub const fn renewal_ms(&self) -> Millis {
        self.share(RENEWAL)
    }

    /// A reader that relies on another's asking asks for itself when what it knows is this
    /// old.
    #[must_use]
    pub const fn oldest_led_ms(&self) -> Millis {
        self.share(OLDEST_LED)
    }

    /// An answer that is due and does not begin, or does not go on, within this is lost.
    #[must_use]
    pub const fn idle_timeout_ms(&self) -> Millis {
        self.share(SILENCE)
    }

    /// Pause after the first failed read; doubled with each further one.
    #[must_use]
    pub const fn first_pause_ms(&self) -> Millis {
        self.share(FIRST_PAUSE)
    }

    /// Longest pause after a failed read.
    #[must_use]
    pub const fn longest_pause_ms(&self) -> Millis {
        self.share(LONGEST_PAUSE)
    }

    /// The same for a node that others tell. Longer, since these are many, and all fail
    /// together while the source is away.
    #[must_use]
    pub const fn followers_pause_ms(&self) -> Millis {
        self.share(FOLLOWERS_PAUSE)
    }

    /// A reserve reads for itself when what it knows is this old.
    #[must_use]
    pub const fn oldest_reserve_ms(&self) -> Millis {
        self.share(OLDEST_RESERVE)
    }

    /// Any other node that is told reads for itself when what it knows is this old.
    #[must_use]
    pub const fn oldest_told_ms(&self) -> Millis {
        self.share(OLDEST_TOLD)
    }

    /// A node that has just started serves on a stale listing for so long at most, and
    /// then reads for itself.
    #[must_use]
    pub const fn longest_stale_ms(&self) -> Millis {
        self.share(LONGEST_STALE)
    }

    /// The same while its listings hold no configuration, so that it acts on nothing.
    #[must_use]
    pub const fn longest_idle_ms(&self) -> Millis {
        self.share(WHOLE)
    }

    /// A node whose readers and their reserves all fail leaves asking to them for so long.
    #[must_use]
    pub const fn longest_outage_ms(&self) -> Millis {
        self.share(LONGEST_OUTAGE)
    }

    /// Pause of a node that lost its readers before it reads for itself. A reader whose
    /// read failed reads again before it ends, so that one failed call of a reader does
    /// not make a call of each of its subscribers.
    #[must_use]
    pub const fn lost_readers_pause_ms(&self) -> Millis {
        self.share(LOST_READERS_PAUSE)
    }

    /// A reader tells its subscribers at least this often.
    #[must_use]
    pub const fn tell_again_ms(&self) -> Millis {
        self.share(TELL_AGAIN)
    }

    /// A reader that is not heard for so long is lost. It tells three times meanwhile, so
    /// this bears a lost packet, which is sent again.
    #[must_use]
    pub const fn reader_silence_ms(&self) -> Millis {
        self.share(READER_SILENCE)
    }

    /// How long a removal is held that a reader tells while it is in trouble.
    #[must_use]
    pub const fn hearsay_hold_ms(&self) -> Millis {
        self.share(HEARSAY_HOLD)
    }

    /// A gate asks its target's health at least this often while it starts calls.
    #[must_use]
    pub const fn own_health_ms(&self) -> Millis {
        self.share(OWN_HEALTH)
    }

    /// A gate looks its target's entry up this often while the target is not well.
    #[must_use]
    pub const fn own_entry_ms(&self) -> Millis {
        self.share(OWN_ENTRY)
    }

    const fn share(&self, percent: u64) -> Millis {
        Millis(self.in_force_ms.0 * percent / WHOLE)
    }
}
