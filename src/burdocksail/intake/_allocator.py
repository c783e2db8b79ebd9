"""Settings of the memory allocator of the process."""

import ctypes

# Parameter number of glibc's `mallopt`.
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 128 << 10  # glibc's own first threshold


def return_large_blocks() -> bool:
    """Let the allocator return each large block to the system when it is freed.

    glibc raises its threshold to the largest block freed so far, and then keeps large
    messages in a heap that shrinks only from its end. Other allocators are not changed.

    Returns
    -------
    bool
        Whether the allocator knows the setting.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES) == 1
