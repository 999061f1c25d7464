//! Counts the bytes that still fit into a datagram.

/// Holds the number of bytes that are left.
pub(crate) struct ByteBudget {
    remaining: usize,
}

impl ByteBudget {
    pub(crate) fn new(bytes: usize) -> ByteBudget {
        ByteBudget { remaining: bytes }
    }

    /// Takes this many bytes if they are left. Returns whether it did.
    pub(crate) fn try_take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.remaining;
        if fits {
            self.remaining -= bytes;
        }
        fits
    }
}
