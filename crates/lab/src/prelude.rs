//! Types that most modules of the lab use.

pub use crate::case::{Case, Fault, FaultAt, KeyMaker};
pub use crate::time::Micros;
pub use hornbeamhitch_core::entry::{
    AttemptEnd, AttemptOutcome, CallProgress, Next, Pick, PickRequest, TargetIndex,
};
pub use hornbeamhitch_core::prelude::*;
