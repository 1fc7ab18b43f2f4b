//! Memory by the sizes that the allocator was asked for.

use allocation_counter::measure;

/// Number of bytes that are freed when a value is dropped, which is the memory that it
/// owns alone.
///
/// A process uses more memory, since allocators round sizes up and keep free blocks. The
/// resident size is therefore measured on processes.
pub fn held_bytes<T>(value: T) -> u64 {
    let freed = measure(|| drop(value));
    u64::try_from(-freed.bytes_current).unwrap_or(0)
}

/// Peak number of bytes that some work allocates in addition to the existing ones.
pub fn peak_bytes(work: impl FnOnce()) -> u64 {
    measure(work).bytes_max
}
