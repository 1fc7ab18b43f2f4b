//! Re-exports the types that most modules of this crate use.

pub use hornbeamhitch_types::policy::{Budgets, DeploymentPolicy, Distance, EjectionPolicy};
pub use hornbeamhitch_types::prelude::*;

pub use crate::fault::{Fault, FaultKind, Faults};
pub use crate::position::Position;
pub use crate::setting::Setting;
pub use crate::warning::{Warning, WarningKind};
