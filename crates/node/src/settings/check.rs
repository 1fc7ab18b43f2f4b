//! Checks that involve several settings.

use std::net::SocketAddr;

use super::Draft;
use super::fault::Fault;
use super::reader::Document;

/// Checks that no two servers share an address. Reported here, the fault names
/// both keys; the kernel would only report "address in use" for the second
/// server.
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

/// Returns whether two addresses conflict. An unspecified address occupies its
/// port on every address of the VM. Ports given as 0 never conflict, because
/// the kernel assigns different ones.
fn overlap(left: &SocketAddr, right: &SocketAddr) -> bool {
    if left.port() != right.port() || left.port() == 0 {
        return false;
    }
    left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified()
}
