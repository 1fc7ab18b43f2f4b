//! The limit on requests that a target states about itself.

/// Kind of message in which a target states its limit.
///
/// A target may state its limit in one kind of message only, so a message without a limit
/// says nothing about the messages of other kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// Answers to requests.
    Answer,
    /// Answers to health checks.
    HealthCheck,
}

/// The limit on requests that one incarnation of a target states.
#[derive(Debug, Default)]
pub struct StatedLimit {
    by_answers: Option<u64>,
    by_health_checks: Option<u64>,
}

impl StatedLimit {
    /// Records the limit in a message of the target, in requests per 1,000 seconds;
    /// `None` if the message states none. Returns whether the limit in force has changed.
    pub fn note(&mut self, source: LimitSource, per_1000_s: Option<u64>) -> bool {
        let before = self.per_1000_s();
        match source {
            LimitSource::Answer => self.by_answers = per_1000_s,
            LimitSource::HealthCheck => self.by_health_checks = per_1000_s,
        }
        before != self.per_1000_s()
    }

    /// Returns the limit in force, in requests per 1,000 seconds: the lowest one stated.
    #[must_use]
    pub fn per_1000_s(&self) -> Option<u64> {
        let stated = [self.by_answers, self.by_health_checks];
        stated.into_iter().flatten().min()
    }
}
