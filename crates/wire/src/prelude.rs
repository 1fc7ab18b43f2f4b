//! The types that modules which speak to other nodes need.

pub use crate::error::WireError;
pub use crate::load::LoadReport;
pub use crate::ticket::Ticket;
pub use hornbeamhitch_types::prelude::*;
