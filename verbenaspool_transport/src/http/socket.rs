//! Limits of the kernel's buffers of a socket.
//!
//! The kernel doubles the values set here to cover its own overhead. Without a limit it grows both
//! buffers as long as they are full: during a play of 72 streams that nobody read, the sockets of the
//! machine, most of them those of the play, held 609 MB unsent.

use std::os::fd::{AsRawFd, BorrowedFd};

use nix::sys::socket::{setsockopt, sockopt};

/// Size of the buffer for what is written, 32 KB: some hundred events of a stream.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Size of the buffer for what is received, 64 KB. Segments on loopback have 64 KB, and a smaller
/// buffer would hold none of them.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Limits both buffers. Those of a listener apply to its later connections. A failure leaves the
/// system's own limits.
pub fn limit_buffers(socket: &impl AsRawFd) {
    let _ = setsockopt(&descriptor(socket), sockopt::SndBuf, &SEND_BUFFER_BYTES);
    limit_receive_buffer(socket);
}

/// Limits the buffer for what is received.
pub fn limit_receive_buffer(socket: &impl AsRawFd) {
    let _ = setsockopt(&descriptor(socket), sockopt::RcvBuf, &RECEIVE_BUFFER_BYTES);
}

/// The descriptor of a socket.
fn descriptor(socket: &impl AsRawFd) -> BorrowedFd<'_> {
    // SAFETY: the socket keeps its descriptor open for as long as it is borrowed.
    #[expect(unsafe_code, reason = "the runtime's sockets don't implement `AsFd`")]
    unsafe {
        BorrowedFd::borrow_raw(socket.as_raw_fd())
    }
}
