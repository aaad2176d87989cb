//! Allocator that counts the bytes of each thread's allocations.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static LIVE: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

/// Counts what a thread allocates and frees, and passes it on to the system's allocator.
pub struct CountingAllocator;

fn count(bytes: isize) {
    // No count is kept while a thread ends.
    let _ = LIVE.try_with(|live| {
        live.set(live.get() + bytes);
        let _ = PEAK.try_with(|peak| peak.set(peak.get().max(live.get())));
    });
}

// SAFETY: all calls are passed on unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        // Both are held while the contents are copied.
        count(new_size as isize);
        count(-(layout.size() as isize));
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Runs a step. Returns its result, with the most bytes that this thread held in it beyond those
/// held before.
pub fn peak_of<T>(step: impl FnOnce() -> T) -> (T, usize) {
    let before = LIVE.get();
    PEAK.set(before);
    let result = step();
    (result, (PEAK.get() - before).max(0) as usize)
}
