//! Requests that crash the targets in which they run.
//!
//! Each node records the crashes in which a request was in flight, and nodes exchange their
//! records. A record names the crash, so the union of the records of two nodes counts each
//! crash once, in whatever order and however often they arrive. A success clears the crashes
//! that its node knows, and those that it learns of a short time later. A cleared record
//! stays cleared.
//!
//! A request that was in flight in [`CRASHES_BEFORE_TRIAL`] crashes without a success since
//! then runs only as a trial: on one target, which all nodes choose alike, and once at a
//! time. If that target crashes too, the request is refused for [`RETRIAL_PAUSE_MS`], since
//! another request may have crashed it; after [`MAX_TRIAL_CRASHES`] such crashes it is
//! refused for as long as they count. If a trial succeeds, the request runs as before.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hornbeamhitch_types::crash::{CrashId, CrashNotice, CrashRecord};
use strum::IntoStaticStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of crashes without a success since after which a request runs only as a trial.
pub const CRASHES_BEFORE_TRIAL: usize = 1;
/// Number of crashes in trials after which a request is refused for good.
pub const MAX_TRIAL_CRASHES: usize = 2;
/// Time between a crash in a trial and the next trial. Crashes that other requests cause at
/// the same time are over by then.
pub const RETRIAL_PAUSE_MS: Millis = Millis::from_secs(4);
/// How long a crash counts.
pub const CRASH_LIFETIME_MS: Millis = Millis::from_secs(10 * 60);
/// How long an expired record is kept, so that a copy of it, which is younger by its time
/// on the network, does not count again.
const EXPIRED_RETENTION_MS: Millis = Millis::from_secs(60);
/// Maximum number of requests for which a node keeps records.
pub const MAX_REQUESTS: usize = 1024;
/// Maximum number of records for one request.
const MAX_RECORDS: usize = 16;
/// Time until the next trial after one that ended without a crash or a success. It doubles
/// with each.
const MIN_TRIAL_PAUSE_MS: Millis = Millis::from_secs(4);
const MAX_TRIAL_PAUSE_MS: Millis = Millis::from_secs(64);
/// Time for which a success also clears later crashes. A common request succeeds on some
/// target all the time, and each crash would otherwise restrict it until its next success.
/// It is short, since a request may begin to crash targets that served it before.
const SUCCESS_LIFETIME_MS: Millis = Millis::from_secs(2);
/// Maximum number of requests whose last success is remembered.
const MAX_SUCCESSES: usize = 4_096;

/// Fingerprint of a request that has none. It is never recorded.
const NO_FINGERPRINT: u64 = 0;

/// How a request may run. Later variants are more severe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CrashLevel {
    /// The request was in flight in no crash, or has succeeded since.
    #[default]
    Clear,
    /// The request runs only as a trial.
    Trial,
    /// A target crashed in a trial of the request, which does not run now.
    Refused,
}

/// A request that was running in a target when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether it ran as a trial.
    pub was_trial: bool,
}

/// The targets on which a request may run.
#[derive(Clone, Debug)]
pub enum AllowedTargets {
    /// Any target of the service.
    Any,
    /// Only this one, as a trial.
    Only(Arc<Member>),
    /// None.
    None,
}

/// The request may not start a trial now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialDenied;

#[derive(Clone, Copy, Debug)]
struct StoredCrash {
    id: CrashId,
    was_trial: bool,
    is_cleared: bool,
    expires_at: Millis,
}

impl StoredCrash {
    fn counts(&self, now: Millis) -> bool {
        !self.is_cleared && now < self.expires_at
    }

    fn record(&self, now: Millis) -> CrashRecord {
        CrashRecord {
            id: self.id,
            was_trial: self.was_trial,
            is_cleared: self.is_cleared,
            age_ms: CRASH_LIFETIME_MS.minus(self.expires_at.since(now)),
        }
    }
}

/// The records of one request.
#[derive(Clone, Debug, Default)]
struct RequestCrashes {
    crashes: Vec<StoredCrash>,
}

impl RequestCrashes {
    fn level(&self, now: Millis) -> CrashLevel {
        let count = self.count(now);
        match self.next_trial_at(now) {
            Some(at) if now < at => CrashLevel::Refused,
            _ if count < CRASHES_BEFORE_TRIAL => CrashLevel::Clear,
            _ => CrashLevel::Trial,
        }
    }

    fn count(&self, now: Millis) -> usize {
        let counted = self.crashes.iter().filter(|crash| crash.counts(now));
        counted.count()
    }

    /// Returns until when the request is refused after crashes in trials; `None` if there
    /// were none.
    fn next_trial_at(&self, now: Millis) -> Option<Millis> {
        let mut count = 0;
        let mut next_at = None;
        for crash in &self.crashes {
            if !crash.was_trial || !crash.counts(now) {
                continue;
            }
            count += 1;
            next_at = next_at.max(Some(match count < MAX_TRIAL_CRASHES {
                true => crash
                    .expires_at
                    .minus(CRASH_LIFETIME_MS.minus(RETRIAL_PAUSE_MS)),
                false => crash.expires_at,
            }));
        }
        next_at
    }

    /// Adds a record; returns whether anything changed.
    fn add(&mut self, added: StoredCrash) -> bool {
        for known in &mut self.crashes {
            if known.id != added.id {
                continue;
            }
            let is_news = (added.is_cleared && !known.is_cleared)
                || (added.was_trial && !known.was_trial)
                || added.expires_at < known.expires_at;
            known.is_cleared |= added.is_cleared;
            known.was_trial |= added.was_trial;
            known.expires_at = known.expires_at.min(added.expires_at);
            return is_news;
        }
        if self.crashes.len() >= MAX_RECORDS && !self.evict_cleared() && !added.was_trial {
            return false;
        }
        self.crashes.push(added);
        true
    }

    /// Drops the oldest cleared record; returns false if there is none.
    fn evict_cleared(&mut self) -> bool {
        let mut oldest: Option<(Millis, usize)> = None;
        for (index, crash) in self.crashes.iter().enumerate() {
            let rank = (crash.expires_at, index);
            if crash.is_cleared && oldest.is_none_or(|oldest| rank < oldest) {
                oldest = Some(rank);
            }
        }
        let Some((_, index)) = oldest else {
            return false;
        };
        self.crashes.remove(index);
        true
    }

    fn notice(&self, fingerprint: u64, now: Millis) -> CrashNotice {
        let live = self.crashes.iter().filter(|crash| now < crash.expires_at);
        CrashNotice {
            fingerprint,
            crashes: live.map(|crash| crash.record(now)).collect(),
        }
    }

    fn last_expiry(&self) -> Millis {
        let expiries = self.crashes.iter().map(|crash| crash.expires_at);
        expiries.max().unwrap_or(Millis::ZERO)
    }
}

/// Paces the trials of one request on this node.
#[derive(Clone, Copy, Debug)]
struct TrialPace {
    is_running: bool,
    next_at: Millis,
    pause_ms: Millis,
}

impl Default for TrialPace {
    fn default() -> Self {
        Self {
            is_running: false,
            next_at: Millis::ZERO,
            pause_ms: MIN_TRIAL_PAUSE_MS,
        }
    }
}

/// The crashes that one node knows, by the requests that were in flight.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    by_request: BTreeMap<u64, RequestCrashes>,
    trials: HashMap<u64, TrialPace>,
    /// When requests last succeeded.
    successes: HashMap<u64, Millis>,
}

impl CrashHistory {
    /// Records that a target crashed with these requests in flight. Returns the notices for
    /// other nodes.
    pub fn observe(&mut self, runs: &[CrashedRun], id: CrashId, now: Millis) -> Vec<CrashNotice> {
        let mut notices = Vec::with_capacity(runs.len());
        for run in runs {
            if self.has_succeeded(run.fingerprint, now) {
                continue;
            }
            let crash = StoredCrash {
                id,
                was_trial: run.was_trial,
                is_cleared: false,
                expires_at: now + CRASH_LIFETIME_MS,
            };
            if self.add(run.fingerprint, crash, now) {
                notices.extend(self.notice(run.fingerprint, now));
            }
        }
        notices
    }

    /// Records that a request succeeded, which clears all crashes that this node knows.
    /// Returns the notice for other nodes if anything changed.
    pub fn clear(&mut self, fingerprint: u64, now: Millis) -> Option<CrashNotice> {
        self.remember_success(fingerprint, now);
        match self.clear_records(fingerprint) {
            true => self.notice(fingerprint, now),
            false => None,
        }
    }

    /// Merges a notice of another node. Returns what this node knows now if the notice has
    /// changed it, for other nodes.
    pub fn merge(&mut self, notice: &CrashNotice, now: Millis) -> Option<CrashNotice> {
        let mut is_news = false;
        for record in &notice.crashes {
            let expires_at = now + CRASH_LIFETIME_MS.minus(record.age_ms);
            if expires_at <= now {
                continue;
            }
            let crash = StoredCrash {
                id: record.id,
                was_trial: record.was_trial,
                is_cleared: record.is_cleared,
                expires_at,
            };
            is_news |= self.add(notice.fingerprint, crash, now);
        }
        if !is_news {
            return None;
        }
        if self.has_succeeded(notice.fingerprint, now) {
            self.clear_records(notice.fingerprint);
        }
        self.notice(notice.fingerprint, now)
    }

    /// Clears the records of a request; returns whether anything changed.
    fn clear_records(&mut self, fingerprint: u64) -> bool {
        let Some(request) = self.by_request.get_mut(&fingerprint) else {
            return false;
        };
        let mut is_news = false;
        for crash in &mut request.crashes {
            is_news |= !crash.is_cleared;
            crash.is_cleared = true;
        }
        self.trials.remove(&fingerprint);
        is_news
    }

    fn has_succeeded(&self, fingerprint: u64, now: Millis) -> bool {
        let succeeded_at = self.successes.get(&fingerprint);
        succeeded_at.is_some_and(|at| now.since(*at) < SUCCESS_LIFETIME_MS)
    }

    fn remember_success(&mut self, fingerprint: u64, now: Millis) {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes
                .retain(|_, at| now.since(*at) < SUCCESS_LIFETIME_MS);
        }
        // When there are more, those that are not remembered are cleared by their next
        // success.
        if self.successes.len() < MAX_SUCCESSES {
            self.successes.insert(fingerprint, now);
        }
    }

    /// Returns how a request may run.
    #[must_use]
    pub fn level(&self, fingerprint: u64, now: Millis) -> CrashLevel {
        let request = self.by_request.get(&fingerprint);
        request.map_or(CrashLevel::Clear, |request| request.level(now))
    }

    /// Returns the number of crashes that are held against a request.
    #[must_use]
    pub fn count(&self, fingerprint: u64, now: Millis) -> usize {
        let request = self.by_request.get(&fingerprint);
        request.map_or(0, |request| request.count(now))
    }

    /// Returns how long a request is refused after crashes in trials; zero if it is not.
    #[must_use]
    pub fn refused_for_ms(&self, fingerprint: u64, now: Millis) -> Millis {
        let request = self.by_request.get(&fingerprint);
        let next_at = request.and_then(|request| request.next_trial_at(now));
        next_at.map_or(Millis::ZERO, |at| at.since(now))
    }

    /// Returns the number of requests at a level.
    #[must_use]
    pub fn requests_at(&self, level: CrashLevel, now: Millis) -> usize {
        let requests = self.by_request.values();
        requests
            .filter(|request| request.level(now) == level)
            .count()
    }

    /// Returns on which of the service's targets a request may run.
    #[must_use]
    pub fn allowed_targets(
        &self,
        fingerprint: u64,
        available: &[Arc<Member>],
        now: Millis,
    ) -> AllowedTargets {
        match self.level(fingerprint, now) {
            CrashLevel::Clear => AllowedTargets::Any,
            CrashLevel::Refused => AllowedTargets::None,
            CrashLevel::Trial => match self.trial_target(fingerprint, available, now) {
                Some(target) => AllowedTargets::Only(target),
                None => AllowedTargets::None,
            },
        }
    }

    /// Chooses the target by rendezvous hashing, so that nodes with the same list choose the
    /// same one. Targets that crashed under the request may be down and are chosen last.
    fn trial_target(
        &self,
        fingerprint: u64,
        available: &[Arc<Member>],
        now: Millis,
    ) -> Option<Arc<Member>> {
        let request = self.by_request.get(&fingerprint);
        let crashes = request.map_or(&[][..], |request| &request.crashes);
        let has_crashed = |target: u64| {
            let mut counted = crashes.iter().filter(|crash| crash.counts(now));
            counted.any(|crash| crash.id.target == target)
        };
        let rank = |member: &Arc<Member>| {
            let target = target_hash(&member.id);
            let weight = xxh3_64_with_seed(&target.to_le_bytes(), fingerprint);
            (!has_crashed(target), weight)
        };
        available
            .iter()
            .max_by_key(|member| rank(member))
            .map(Arc::clone)
    }

    /// Starts a trial of a request on this node.
    ///
    /// # Errors
    ///
    /// Another trial is running here, or the last one has ended without a result a short
    /// time ago.
    pub fn begin_trial(&mut self, fingerprint: u64, now: Millis) -> Result<(), TrialDenied> {
        let pace = self.trials.entry(fingerprint).or_default();
        if pace.is_running || now < pace.next_at {
            return Err(TrialDenied);
        }
        pace.is_running = true;
        Ok(())
    }

    /// Records the end of a trial on this node. A success is recorded by [`Self::clear`]
    /// before, and a crash by [`Self::observe`].
    pub fn end_trial(&mut self, fingerprint: u64, now: Millis) {
        let Some(pace) = self.trials.get_mut(&fingerprint) else {
            return;
        };
        pace.is_running = false;
        pace.next_at = now + pace.pause_ms;
        pace.pause_ms = Millis(pace.pause_ms.0 * 2).min(MAX_TRIAL_PAUSE_MS);
    }

    /// Returns all that this node knows, for a node that may know less.
    #[must_use]
    pub fn notices(&self, now: Millis) -> Vec<CrashNotice> {
        let mut notices = Vec::with_capacity(self.by_request.len());
        for (fingerprint, request) in &self.by_request {
            let notice = request.notice(*fingerprint, now);
            if !notice.crashes.is_empty() {
                notices.push(notice);
            }
        }
        notices
    }

    /// Whether nothing is recorded, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn notice(&self, fingerprint: u64, now: Millis) -> Option<CrashNotice> {
        let request = self.by_request.get(&fingerprint)?;
        Some(request.notice(fingerprint, now))
    }

    fn add(&mut self, fingerprint: u64, crash: StoredCrash, now: Millis) -> bool {
        if fingerprint == NO_FINGERPRINT {
            return false;
        }
        if !self.by_request.contains_key(&fingerprint) && !self.make_room(now) {
            return false;
        }
        let request = self.by_request.entry(fingerprint).or_default();
        request.add(crash)
    }

    /// Drops expired records, and then the least severe and oldest request if there is no
    /// room for another one. Returns false if only refused requests are left.
    fn make_room(&mut self, now: Millis) -> bool {
        for request in self.by_request.values_mut() {
            let is_kept = |crash: &StoredCrash| now < crash.expires_at + EXPIRED_RETENTION_MS;
            request.crashes.retain(is_kept);
        }
        self.by_request
            .retain(|_, request| !request.crashes.is_empty());
        let by_request = &self.by_request;
        self.trials
            .retain(|fingerprint, pace| pace.is_running || by_request.contains_key(fingerprint));
        if self.by_request.len() < MAX_REQUESTS {
            return true;
        }
        let rank = |request: &RequestCrashes| (request.level(now), request.last_expiry());
        let requests = self.by_request.iter();
        let least = requests.min_by_key(|(_, request)| rank(request));
        let Some((fingerprint, request)) = least else {
            return true;
        };
        if request.level(now) > CrashLevel::Trial {
            return false;
        }
        let fingerprint = *fingerprint;
        self.by_request.remove(&fingerprint);
        true
    }
}

/// Returns the hash by which crashes name a target.
#[must_use]
pub fn target_hash(target: &TargetId) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), 0)
}
