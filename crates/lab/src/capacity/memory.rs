//! Memory as the allocator was asked for it.

use allocation_counter::measure;

/// Bytes that are freed when a value is dropped: what it alone keeps alive.
///
/// Allocators round sizes up and keep free blocks, so a process holds more;
/// its resident size is measured on processes.
pub fn held_bytes<T>(value: T) -> u64 {
    let freed = measure(|| drop(value));
    u64::try_from(-freed.bytes_current).unwrap_or(0)
}

/// The most bytes that some work holds at one time beyond what was there.
pub fn peak_bytes(work: impl FnOnce()) -> u64 {
    measure(work).bytes_max
}
