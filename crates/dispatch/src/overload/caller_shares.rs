//! Equal shares of callers that compete for a service.
//!
//! While the service refuses calls of a class, a caller whose offered work exceeds twice
//! the equal share of the callers of this class gets no more turns at the admission level
//! than an average caller. The turns that it loses go to the next callers, so the number of
//! admitted calls stays as the level decides.

use std::collections::HashMap;

use crate::overload::return_schedule::RequestKey;
use crate::prelude::*;

mod content;
mod decay;
mod recent_callers;
mod service_shares;

#[cfg(test)]
mod tests;

use content::ContentCallers;
use service_shares::ServiceShares;

/// Maximum number of services that are tracked, each with about 6 KB. Callers of further
/// services are not limited.
const MAX_SERVICES: usize = 32;
/// Time without calls after which a service is no longer tracked. An eighth of its recorded
/// work is left then, which is too little to tell callers by.
const MAX_IDLE_MS: Millis = Millis(3_000);

/// Hash of what identifies a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// A caller's call that is about to be admitted or refused.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Service of the call.
    pub service: &'a ServiceName,
    /// Class of the call.
    pub class: LoadClass,
    /// Its caller.
    pub caller: CallerId,
    /// Expected run time at usual speed.
    pub work_ms: Millis,
    /// Whether the service refuses calls of this class.
    pub is_contended: bool,
    /// Whether the admission level admits this call.
    pub has_turn: bool,
}

/// Decision about an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareVerdict {
    /// The call is admitted.
    Admitted,
    /// The call is refused, because its caller has used more than its share.
    ExceedsShare,
    /// The call is refused, because the admission level refuses it.
    NoTurn,
}

impl ShareVerdict {
    /// Returns the verdict on a call whose caller's share does not matter.
    #[must_use]
    pub const fn by_level(has_turn: bool) -> Self {
        match has_turn {
            true => Self::Admitted,
            false => Self::NoTurn,
        }
    }
}

/// Recent work of the heaviest callers of each service.
#[derive(Debug, Default)]
pub struct CallerShares {
    by_service: HashMap<ServiceName, ServiceShares>,
    contents: ContentCallers,
}

impl CallerShares {
    /// Returns the caller of a request that only its content identifies.
    pub fn caller_by_content(&mut self, key: RequestKey, now: Millis) -> CallerId {
        self.contents.caller(key, now)
    }

    /// Counts a call and decides whether it is admitted.
    pub fn decide(&mut self, offer: &Offer<'_>, now: Millis) -> ShareVerdict {
        match self.service(offer.service, now) {
            Some(shares) => shares.decide(offer, now),
            None => ShareVerdict::by_level(offer.has_turn),
        }
    }

    /// Discards services without recent calls.
    pub fn forget_idle(&mut self, now: Millis) {
        self.by_service.retain(|_, shares| !is_idle(shares, now));
    }

    fn service(&mut self, service: &ServiceName, now: Millis) -> Option<&mut ServiceShares> {
        let known = self.by_service.get(service);
        if known.is_none_or(|shares| is_idle(shares, now)) {
            self.by_service.remove(service);
            if self.by_service.len() >= MAX_SERVICES {
                self.forget_idle(now);
            }
            if self.by_service.len() >= MAX_SERVICES {
                return None;
            }
            self.by_service
                .insert(service.clone(), ServiceShares::new(now));
        }
        self.by_service.get_mut(service)
    }
}

fn is_idle(shares: &ServiceShares, now: Millis) -> bool {
    now.since(shares.last_offer_at()) > MAX_IDLE_MS
}
