//! The types that almost every module of this crate and its drivers need.

pub use crate::members::{Life, Member, Members, TargetId};
pub use crate::routes::{CallKind, CallerLimits, Route, RouteSet};
pub use hornbeamhitch_types::prelude::{DataCentre, Millis, ResultCode, ServiceName};
