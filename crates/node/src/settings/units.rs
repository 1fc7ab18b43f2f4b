//! Adapters for single values: how each is read and what it allows.
//!
//! They are `serde_with` adapters, so a key's type contains its unit and range,
//! and the message of a fault is built from the same constants as the check.

use std::net::SocketAddr;

use hornbeamhitch_types::prelude::*;
use log::LevelFilter;
use serde::de::{Deserialize, Deserializer, Error};
use serde_with::DeserializeAs;

use super::OVERLOAD_PARTS;

const MAX_NAME_CHARS: usize = 64;

/// An adapter that describes the values it allows.
pub(super) trait Allowed {
    /// Returns the description that follows "allowed: ".
    fn allowed() -> String;
}

/// A whole number from `MIN` to `MAX`, in the unit given by the key.
pub(super) struct CountIn<const MIN: u64, const MAX: u64>;

impl<const MIN: u64, const MAX: u64> Allowed for CountIn<MIN, MAX> {
    fn allowed() -> String {
        format!("a whole number from {MIN} to {MAX}")
    }
}

impl<'de, T, const MIN: u64, const MAX: u64> DeserializeAs<'de, T> for CountIn<MIN, MAX>
where
    T: TryFrom<u64>,
{
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<T, D::Error> {
        let number = number_in(deserializer, MIN, MAX)?;
        T::try_from(number).map_err(|_| Error::custom("too large for this machine"))
    }
}

/// Milliseconds from `MIN` to `MAX`.
pub(super) struct MillisIn<const MIN: u64, const MAX: u64>;

impl<const MIN: u64, const MAX: u64> Allowed for MillisIn<MIN, MAX> {
    fn allowed() -> String {
        format!("milliseconds as a whole number from {MIN} to {MAX}")
    }
}

impl<'de, const MIN: u64, const MAX: u64> DeserializeAs<'de, Millis> for MillisIn<MIN, MAX> {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
        number_in(deserializer, MIN, MAX).map(Millis)
    }
}

fn number_in<'de, D: Deserializer<'de>>(
    deserializer: D,
    min: u64,
    max: u64,
) -> Result<u64, D::Error> {
    let number = u64::deserialize(deserializer)?;
    if number < min || number > max {
        return Err(Error::custom("out of range"));
    }
    Ok(number)
}

/// The name of a VM, service or data centre.
///
/// Names are used in URLs, headers and metric labels, so they must not contain
/// characters that need escaping there.
pub(super) struct Name;

impl Allowed for Name {
    fn allowed() -> String {
        format!(
            "1 to {MAX_NAME_CHARS} of a-z, A-Z, 0-9, '-', '_' and '.', \
             beginning with a letter or digit"
        )
    }
}

impl<'de> DeserializeAs<'de, String> for Name {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
        let name = String::deserialize(deserializer)?;
        if !is_name(&name) {
            return Err(Error::custom("not a name"));
        }
        Ok(name)
    }
}

fn is_name(name: &str) -> bool {
    if name.len() > MAX_NAME_CHARS || !name.starts_with(|c: char| c.is_ascii_alphanumeric()) {
        return false;
    }
    name.chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

/// An address on which this node listens, and which only needs to be bound.
pub(super) struct ListenAddress;

impl Allowed for ListenAddress {
    fn allowed() -> String {
        "IP:port such as \"0.0.0.0:8080\" or \"[::1]:8080\"; port 0 takes any free port".to_owned()
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for ListenAddress {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        address(deserializer)
    }
}

/// An address on which this node listens, and which it announces to other
/// nodes.
///
/// An unspecified address can be bound but not connected to: peers would
/// connect to themselves, and the node would seem to be down to all others.
pub(super) struct BoundAddress;

impl Allowed for BoundAddress {
    fn allowed() -> String {
        "this VM's own IP:port as other nodes reach it, such as \"10.0.3.17:7001\", \
         not 0.0.0.0 or [::]; port 0 takes any free port"
            .to_owned()
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for BoundAddress {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        let address = address(deserializer)?;
        if !is_host(&address) {
            return Err(Error::custom("not an address of one host"));
        }
        Ok(address)
    }
}

/// An address that this node connects to.
pub(super) struct HostAddress;

impl Allowed for HostAddress {
    fn allowed() -> String {
        "IP:port of one host, such as \"10.0.0.2:8000\", with a port from 1 to 65535".to_owned()
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for HostAddress {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        let address = address(deserializer)?;
        if !is_host(&address) || address.port() == 0 {
            return Err(Error::custom("not an address of one host"));
        }
        Ok(address)
    }
}

fn is_host(address: &SocketAddr) -> bool {
    !address.ip().is_unspecified() && !address.ip().is_multicast()
}

fn address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(Error::custom)
}

/// The name of a part of overload control.
pub(super) struct OverloadPartName;

impl Allowed for OverloadPartName {
    fn allowed() -> String {
        format!("one of \"{}\"", OVERLOAD_PARTS.join("\", \""))
    }
}

impl<'de> DeserializeAs<'de, String> for OverloadPartName {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
        let name = String::deserialize(deserializer)?;
        if !OVERLOAD_PARTS.contains(&name.as_str()) {
            return Err(Error::custom("not a part of overload control"));
        }
        Ok(name)
    }
}

/// A log level.
pub(super) struct LogLevel;

impl Allowed for LogLevel {
    fn allowed() -> String {
        "one of \"off\", \"error\", \"warn\", \"info\", \"debug\", \"trace\"".to_owned()
    }
}

impl<'de> DeserializeAs<'de, LevelFilter> for LogLevel {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<LevelFilter, D::Error> {
        let text = String::deserialize(deserializer)?;
        for level in LevelFilter::iter() {
            if level.as_str().eq_ignore_ascii_case(&text) {
                return Ok(level);
            }
        }
        Err(Error::custom("not a level"))
    }
}
