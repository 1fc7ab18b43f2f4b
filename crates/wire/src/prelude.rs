//! Common types of the modules that communicate with other nodes.

pub use crate::error::WireError;
pub use crate::load::LoadReport;
pub use crate::ticket::Ticket;
pub use hornbeamhitch_types::prelude::*;
