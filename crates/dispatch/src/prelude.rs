//! Types that almost every module of this crate and its users need.

pub use crate::knowledge::members::{Member, Members, TargetId, TargetIncarnation};
pub use crate::routing::routes::{CallKind, CallerLimits, Route, RouteSet};
pub use hornbeamhitch_types::prelude::{
    DataCentre, DemandReport, GateLoad, LOAD_CLASSES, LoadClass, Millis, PartDigest, Region,
    ResultCode, Revision, ServiceName, TargetNotice,
};
