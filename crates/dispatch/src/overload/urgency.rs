//! Urgency that a call inherits from the requests behind it on its connection.
//!
//! Answers are written in the order of their requests, so the answer to an urgent request
//! is held until the calls before it have ended. Such a call is therefore placed with the
//! best priority and the earliest objective of those that wait behind it.

use std::collections::VecDeque;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// How urgent a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time by which the call must end to meet its objective.
    pub objective_at: Millis,
}

impl Urgency {
    /// Returns the better priority and the earlier objective of the two.
    #[must_use]
    pub fn best_of(self, other: Self) -> Self {
        Self {
            priority: self.priority.min(other.priority),
            objective_at: self.objective_at.min(other.objective_at),
        }
    }
}

/// Number of a call on its connection, in the order in which the requests were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(u64);

#[derive(Debug)]
struct OpenCall {
    number: CallNumber,
    inherited: Option<Urgency>,
}

/// The calls of one connection that have not ended, with what each has inherited.
#[derive(Debug, Default)]
pub struct OpenCalls {
    /// Ordered by number.
    calls: VecDeque<OpenCall>,
    last: u64,
}

impl OpenCalls {
    /// Adds the call of a request that was read behind all others.
    pub fn open(&mut self) -> CallNumber {
        self.last += 1;
        let number = CallNumber(self.last);
        self.calls.push_back(OpenCall {
            number,
            inherited: None,
        });
        number
    }

    /// Removes a call that has ended. What others inherited from it remains.
    pub fn close(&mut self, number: CallNumber) {
        if let Ok(index) = self.find(number) {
            self.calls.remove(index);
        }
    }

    /// Whether a call waits behind another one that has not ended.
    #[must_use]
    pub fn waits(&self, number: CallNumber) -> bool {
        self.calls.front().is_some_and(|call| call.number < number)
    }

    /// Passes the urgency of a call to all calls before it. Returns whether this has raised
    /// the urgency of any.
    pub fn raise_before(&mut self, number: CallNumber, urgency: Urgency) -> bool {
        let mut has_raised = false;
        for call in &mut self.calls {
            if call.number >= number {
                break;
            }
            let known = call.inherited;
            let raised = known.map_or(urgency, |known| known.best_of(urgency));
            call.inherited = Some(raised);
            has_raised |= known != Some(raised);
        }
        has_raised
    }

    /// Returns the best urgency among the calls that have waited behind this one.
    #[must_use]
    pub fn inherited(&self, number: CallNumber) -> Option<Urgency> {
        let index = self.find(number).ok()?;
        self.calls[index].inherited
    }

    fn find(&self, number: CallNumber) -> Result<usize, usize> {
        self.calls.binary_search_by_key(&number, |call| call.number)
    }
}

/// When the run of a call is hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTimes {
    /// Time from which the run takes longer than nine in ten.
    pub earliest: Millis,
    /// Time at which a call that nothing waits for is hedged.
    pub usual: Millis,
}

impl HedgeTimes {
    /// Returns when to hedge a run whose call must end by an inherited objective, so that
    /// the second run, which takes `run_ms` with its margin, still meets it.
    ///
    /// An objective that a hedge cannot meet any longer changes nothing, since the second
    /// run would only take capacity from others.
    #[must_use]
    pub fn with_objective(self, objective_at: Millis, run_ms: Millis) -> Millis {
        let latest = objective_at.minus(run_ms);
        if latest < self.earliest {
            return self.usual;
        }
        latest.min(self.usual)
    }
}
