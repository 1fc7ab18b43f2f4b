//! What a target states about itself in its answers.

use serde::{Deserialize, Serialize};

/// Statements of one incarnation of a target that concern all nodes that send to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNotice {
    /// Requests per 1,000 seconds that the target accepts from all nodes together; `None`
    /// if it states no limit.
    pub max_requests_per_1000_s: Option<u64>,
    /// The target is about to end and takes no new work.
    pub is_leaving: bool,
}
