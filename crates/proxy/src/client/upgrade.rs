//! The handover of a client connection to another protocol.

use crate::tcp::SharedStream;
use bytes::Bytes;
use std::fmt;
use std::future::Future;
use std::pin::Pin;

/// Takes over a connection after its 101 response, with the bytes that were read after the request.
pub struct Upgrade(pub Box<UpgradeHandler>);

type UpgradeHandler = dyn FnOnce(SharedStream, Bytes) -> Pin<Box<dyn Future<Output = ()>>>;

impl fmt::Debug for Upgrade {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Upgrade")
    }
}
