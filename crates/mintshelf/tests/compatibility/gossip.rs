//! The datagram between sidecars.

use super::bindings::{decoded_gossip, encoded_gossip};
use super::fixtures::{hex, unhex};

const DATAGRAM: &str = "01020000003f00005040000000003300000019000170110100c42000";

#[test]
fn a_datagram_has_the_same_bytes() {
    assert_eq!(hex(&encoded_gossip()), DATAGRAM);
}

#[test]
fn a_datagram_written_before_says_the_same() {
    let servers = vec![(51, 2.5, 4.0), (70_000, -0.75, 0.5)];
    assert_eq!(decoded_gossip(&unhex(DATAGRAM)), Some((0.5, vec![3.25, 0.0], servers)));
}
