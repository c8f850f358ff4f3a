//! Chooses the address that a request is sent to.

use std::net::SocketAddr;

/// Chooses the address for a request.
pub trait Destination: Send + Sync + 'static {
    /// Returns the address for the request with this number, or `None` if none is known.
    fn address(&self, number: u64) -> Option<SocketAddr>;
}

/// Sends all requests to one address.
#[derive(Clone, Copy, Debug)]
pub struct Direct(pub SocketAddr);

impl Destination for Direct {
    fn address(&self, _number: u64) -> Option<SocketAddr> {
        Some(self.0)
    }
}

/// Sends requests with even numbers to the first destination, odd ones to the second.
#[derive(Clone, Debug)]
pub struct Alternating<A, B>(pub A, pub B);

impl<A: Destination, B: Destination> Destination for Alternating<A, B> {
    fn address(&self, number: u64) -> Option<SocketAddr> {
        if number.is_multiple_of(2) {
            self.0.address(number / 2)
        } else {
            self.1.address(number / 2)
        }
    }
}
