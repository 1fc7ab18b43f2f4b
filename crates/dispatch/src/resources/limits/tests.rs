//! Tests of the limits of a process.

use strum::IntoEnumIterator;

use super::*;

const MIB: u64 = 1024 * 1024;

/// Guards against limits that turn away the longest upload on the smallest VM.
#[test]
fn the_smallest_vm_has_room_for_a_body_of_64_mib() {
    let limits = ResourceLimits::of_process(160 * MIB, 3_900);
    assert!(limits.account_bytes - limits.ordinary_bytes >= 64 * MIB);
    assert!(limits.account_bytes <= 160 * MIB / 2);
}

/// Guards against connections that together exceed the descriptors or the memory.
#[test]
fn all_connections_fit_into_the_process() {
    for (memory_mb, sockets) in [(64, 200), (160, 3_900), (512, 7_992), (40, 100_000)] {
        let limits = ResourceLimits::of_process(memory_mb * MIB, sockets);
        let mut connections = 0;
        for listener in Listener::iter() {
            connections += limits.connections(listener);
        }
        assert!(connections < sockets * 9 / 10, "{limits:?}");
        let memory_bytes = connections as u64 * CONNECTION_BYTES + limits.account_bytes;
        assert!(memory_bytes < memory_mb * MIB * 9 / 10, "{limits:?}");
    }
}
