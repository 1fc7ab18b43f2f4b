//! Types that most modules of this crate use.

pub use crate::refusal::Refusal;
pub use crate::view::{RouteTable, ServiceView, TargetView};
pub use hornbeamhitch_types::policy::{Budgets, DeploymentPolicy, EjectionPolicy};
pub use hornbeamhitch_types::prelude::*;
pub use hornbeamhitch_wire::load::LoadReport;
pub use hornbeamhitch_wire::ticket::Ticket;
