//! Identifies the caller of a request.

use std::net::IpAddr;

use hornbeamhitch_dispatch::overload::caller_shares::CallerId;
use xxhash_rust::xxh3::Xxh3;

use crate::http1;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Returns the caller by its client account or its network address.
///
/// Returns `None` if the request comes from this VM without an account: all its callers
/// and the target share the address of the VM, so that only the content of a request tells
/// them apart.
pub(super) fn stated(
    fields: &[HeaderField],
    peer: IpAddr,
    names: &HeaderNames,
    own_ip: IpAddr,
) -> Option<CallerId> {
    let account = names
        .client_account
        .and_then(|name| http1::field(fields, name))
        .filter(|account| !account.is_empty());
    if let Some(account) = account {
        return Some(hash("account", account.as_bytes()));
    }
    let peer = peer.to_canonical();
    if peer.is_loopback() || peer == own_ip.to_canonical() {
        return None;
    }
    Some(hash("address", peer.to_string().as_bytes()))
}

fn hash(kind: &str, identity: &[u8]) -> CallerId {
    let mut hash = Xxh3::new();
    hash.update(kind.as_bytes());
    hash.update(b"\0");
    hash.update(identity);
    CallerId(hash.digest())
}
