//! The types that almost every module of this crate and its drivers need.

pub use crate::members::{Member, Members, TargetId, TargetIncarnation};
pub use crate::routes::{CallKind, CallerLimits, Route, RouteSet};
pub use hornbeamhitch_types::prelude::{DataCentre, Millis, ResultCode, ServiceName};
