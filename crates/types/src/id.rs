//! Names and numbers that identify things across nodes.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name as it stands in settings, text or messages.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name itself.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// A service of the configuration text, such as `cashier`.
    ServiceName
}
name_type! {
    /// A VM as the platform names it; one node runs on each.
    VmId
}
name_type! {
    /// A data centre as settings and the VM list name it.
    DataCentre
}
name_type! {
    /// A tenant for whom calls are counted apart.
    TenantName
}

/// One life of a node process.
///
/// Two lives never share a value, even on the same VM and address: the high
/// 48 bits are the wall clock at start in milliseconds, the low 16 bits are
/// random. Safety (tickets, fencing) relies on equality only, never on order,
/// because wall clocks of two VMs may disagree. Membership uses the order to
/// prefer the later life of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    const RANDOM_BITS: u32 = 16;

    /// Composes an incarnation from the wall clock at start and random bits.
    #[must_use]
    pub const fn compose(wall_clock_ms: u64, random: u16) -> Self {
        Self((wall_clock_ms << Self::RANDOM_BITS) | random as u64)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The platform's version number of the configuration text; it only goes up.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// The identity of one non-idempotent request: a hash of service, tenant and
/// the caller's idempotency key.
///
/// At 128 bits, a collision among the billions of keys that live at once is
/// far less likely than a broken VM.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallKey(pub u128);

impl CallKey {
    /// Hashes the parts with separators, so that no two splits coincide.
    #[must_use]
    pub fn from_parts(service: &str, tenant: &str, idempotency_key: &str) -> Self {
        let mut joined = String::with_capacity(service.len() + tenant.len() + 32);
        joined.push_str(service);
        joined.push('\0');
        joined.push_str(tenant);
        joined.push('\0');
        joined.push_str(idempotency_key);
        Self(xxh3_128(joined.as_bytes()))
    }
}

impl fmt::Debug for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallKey({:032x})", self.0)
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
