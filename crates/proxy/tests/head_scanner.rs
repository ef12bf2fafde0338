//! The scanner of request heads: framings, and what can be read in two ways.

use mintshelf_proxy::client::head_scanner::{RequestHeadScanner, ScannedHead};

fn heads(bytes: &[u8], cut: usize) -> (Vec<ScannedHead>, bool) {
    let mut scanner = RequestHeadScanner::default();
    scanner.read(&bytes[..cut]);
    scanner.read(&bytes[cut..]);
    (scanner.pending_heads().cloned().collect(), scanner.is_body_ambiguous())
}

#[test]
fn heads_are_found_however_the_bytes_are_cut() {
    let bytes = b"\r\nPOST / HTTP/1.1\r\nContent-Length: 23\r\n\r\nTransfer-Encoding: a\r\n\r\n\
        POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1a;x=y\r\nContent-Length: 9\r\n\r\n12345\r\n\
        0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nCONTENT-length:3\r\n\r\n";
    for cut in 0..bytes.len() {
        let (heads, is_body_ambiguous) = heads(bytes, cut);
        let framings: Vec<_> = heads
            .iter()
            .map(|head| [head.framings.content_length, head.framings.transfer_encoding])
            .collect();
        assert_eq!(framings, [[true, false], [false, true], [true, true]], "{cut}");
        assert!(!is_body_ambiguous && heads[0].ambiguity.is_none() && heads[1].ambiguity.is_none());
        assert!(heads[2].is_framed_twice() && heads[2].ambiguity.is_some());
    }
}

#[test]
fn what_can_be_read_in_two_ways_is_ambiguous() {
    for field in [
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length: 99999999999999999999",
        "Content-Length : 3",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: xchunked",
        "A: b\r\n folded: c",
        "A: b\rC: d",
        "A: b\nC: d",
        "X: y\nTransfer-Encoding: chunked",
        "no colon",
    ] {
        let bytes = format!("GET / HTTP/1.1\r\n{field}\r\n\r\n");
        let (heads, _) = heads(bytes.as_bytes(), 5);
        assert!(heads[0].ambiguity.is_some(), "{field}");
    }
    for size in ["", "+1", "0x1", " 1", "1 ", "-1", "fffffffffffffffff", "g"] {
        let bytes = format!("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\nx");
        assert!(heads(bytes.as_bytes(), 7).1, "{size}");
    }
    let endless = b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n";
    assert!(heads(endless, 7).1);
    let long = format!("GET / HTTP/1.1\r\nA: {}\nB: c\r\n\r\n", "b".repeat(400));
    for cut in [5, 100, 300, 417, 418, 419] {
        assert!(heads(long.as_bytes(), cut).0[0].ambiguity.is_some(), "{cut}");
        let good = long.replacen('\n', "\r\n", 2).replace("\r\r", "\r").replace("b\nB", "b\r\nB");
        assert_eq!(heads(good.as_bytes(), cut).0[0].ambiguity, None, "{cut}");
    }
    let bare = b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n";
    assert!(heads(bare, 7).1);
}
