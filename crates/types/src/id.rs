//! Identifiers of services, VMs, data centres, tenants, node processes,
//! configuration versions and requests.

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
            /// Wraps a name as written in settings, configuration text or messages.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Returns the name.
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
    /// The name of a service in the configuration text, such as `cashier`.
    ServiceName
}
name_type! {
    /// The platform's name of a VM. One node runs on each VM.
    VmId
}
name_type! {
    /// The name of a data centre in settings and in the VM list.
    DataCentre
}
name_type! {
    /// The name of a region, which contains data centres.
    Region
}
name_type! {
    /// The name of a tenant whose calls are counted separately.
    TenantName
}

/// Identifies one run of a node process, from its start to its end.
///
/// A restarted node gets a new value, even on the same VM and address: the high
/// 48 bits are the wall clock at start in milliseconds, the low 16 bits are
/// random. Safety (tickets, fencing) relies on equality only, never on order,
/// because the wall clocks of two VMs may disagree. Membership uses the order
/// to prefer the later incarnation of the same VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    const RANDOM_BITS: u32 = 16;

    /// Combines the wall clock at start, in milliseconds, with random bits.
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

/// The platform's version number of the configuration text. It only increases.
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

/// Identifies a non-idempotent request: a hash of the service, the tenant and
/// the caller's idempotency key.
///
/// With 128 bits, a collision among the billions of keys in use at one time is
/// far less likely than a VM failure.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallKey(pub u128);

impl CallKey {
    /// Hashes the three parts with separators between them, so that moving
    /// characters from one part to the next changes the key.
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
