//! Common imports of the modules of this crate.

pub use std::net::SocketAddr;
pub use std::sync::Arc;
pub use std::time::Duration;

pub use bytes::Bytes;
pub use eyre::{Result, WrapErr, bail, ensure, eyre};
pub use http::{HeaderMap, Method, Request, Response, StatusCode};
pub use hyper::body::Incoming;
pub use parking_lot::Mutex;
pub use serde::{Deserialize, Serialize};

pub use hornbeamhitch_node::clock::ProcessClock;
pub use hornbeamhitch_types::prelude::*;
pub use hornbeamhitch_wire::header;

pub use crate::clock::wall_clock;
