//! Re-exports the types that almost every module of the workspace uses.

pub use crate::clock::Millis;
pub use crate::code::{Certainty, ResultCode};
pub use crate::digest::PartDigest;
pub use crate::id::{
    CallKey, ConfigVersion, DataCentre, Incarnation, Region, ServiceName, TenantName, VmId,
};
pub use crate::load::{DemandReport, GateLoad, LOAD_CLASSES, LoadClass, SilenceReport, SilentVm};
pub use crate::notice::TargetNotice;
pub use crate::policy::{CallClass, CallPolicy, ServicePolicy};
pub use crate::revision::Revision;
