//! Types that almost every module of this crate uses.

pub use crate::dialect::{Dialect, HeaderNames};
pub use crate::directory::SharedDirectory;
pub use hornbeamhitch_dispatch::prelude::*;
pub use hornbeamhitch_node::clock::ProcessClock;
pub use hornbeamhitch_types::prelude::{CallKey, Incarnation, VmId};
pub use hornbeamhitch_wire::link::{AnswerHead, CallEnd, CallHead, CallTerms, HeaderField};
