//! Checks that concern several settings at once.

use std::net::SocketAddr;

use super::Draft;
use super::fault::Fault;
use super::reader::Document;

/// Two servers cannot share an address. Found here, an operator sees both
/// keys; found by the kernel, only "address in use" on whichever came second.
pub(super) fn check_addresses(document: &Document<'_>, draft: &Draft, faults: &mut Vec<Fault>) {
    let local = [
        ("callers_address", draft.callers_address),
        ("peer_address", draft.peer_address),
        ("control_address", draft.control_address),
        ("operators_address", draft.operators_address),
        ("target_address", draft.target_address),
    ];
    for (index, (key, address)) in local.iter().enumerate() {
        let Some(address) = address else {
            continue;
        };
        for (earlier_key, earlier) in &local[..index] {
            if !earlier.is_some_and(|earlier| overlap(&earlier, address)) {
                continue;
            }
            let problem = format!("{address} is taken by {earlier_key}");
            faults.push(document.clash(key, problem, "a port of its own"));
        }
    }
}

/// An unspecified address takes its port on every address of the VM. Ports
/// given as 0 never clash: the kernel hands out different ones.
fn overlap(left: &SocketAddr, right: &SocketAddr) -> bool {
    if left.port() != right.port() || left.port() == 0 {
        return false;
    }
    left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified()
}
