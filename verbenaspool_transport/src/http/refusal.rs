//! Refusal of new connections before a listener closes.

use std::{
    io,
    os::fd::{AsRawFd, BorrowedFd},
};

use monoio::net::TcpListener;
use nix::{
    libc,
    sys::socket::{SetSockOpt, sockopt::SetStruct},
};

/// The index of a network interface that doesn't exist.
const MISSING_INTERFACE: libc::c_int = libc::c_int::MAX;

/// The socket option that restricts a socket to the network interface with this index.
#[derive(Debug, Clone, Copy)]
struct Restriction;

nix::setsockopt_impl!(
    Restriction,
    libc::SOL_SOCKET,
    libc::SO_BINDTOIFINDEX,
    libc::c_int,
    SetStruct<libc::c_int>
);

/// Makes the kernel refuse new connections to a listener, while those that are established or
/// whose handshake is in progress can still be accepted.
///
/// The kernel has no option for this. A listener that is restricted to a missing interface is
/// not found for new connections, so they are refused as if it were closed, but it keeps its
/// accept queue.
///
/// # Errors
/// The kernel doesn't allow it; Linux does from version 5.7 on.
pub fn begin(listener: &TcpListener) -> io::Result<()> {
    // SAFETY: the listener keeps its descriptor open for as long as it is borrowed.
    #[expect(unsafe_code, reason = "the listener doesn't implement `AsFd`")]
    let descriptor = unsafe { BorrowedFd::borrow_raw(listener.as_raw_fd()) };
    Ok(Restriction.set(&descriptor, &MISSING_INTERFACE)?)
}
