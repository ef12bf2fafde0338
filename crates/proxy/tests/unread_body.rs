//! What becomes of a request body that is not read to its end before the response begins.

use mintshelf_proxy::client::head_scanner::RequestHeadScanner;
use mintshelf_proxy::client::unread_body::{BodyDisposal, UnreadBody, MAX_DISCARDED_BYTES};

#[test]
fn a_rest_is_discarded_only_if_its_end_is_near_and_certain() {
    use BodyDisposal::{Close, Discard};
    let max = Some(MAX_DISCARDED_BYTES);
    let over = Some(MAX_DISCARDED_BYTES + 1);
    for (remaining_bytes, has_arrived, awaits_continue, is_memory_low, expected) in [
        (Some(1), false, false, false, Discard),
        (max, false, false, false, Discard),
        (over, false, false, false, Close),
        // Without a stated length, how much will follow is unknown.
        (None, false, false, false, Close),
        (None, true, false, false, Discard),
        // The client may send its next request instead of the body.
        (Some(1), false, true, false, Close),
        (None, false, true, false, Close),
        (Some(1), true, true, false, Discard),
        // Waiting takes the buffers of a connection; what has arrived need not be waited for.
        (Some(1), false, false, true, Close),
        (Some(1), true, false, true, Discard),
    ] {
        let unread = UnreadBody { remaining_bytes, has_arrived, awaits_continue, is_memory_low };
        assert_eq!(unread.disposal(), expected, "{unread:?}");
    }
}

/// Returns whether the scanner is in the body of the request that was delivered last, after each
/// number of bytes from the end of its head on.
fn in_body_after_head(head: &str, body: &str) -> Vec<bool> {
    let mut scanner = RequestHeadScanner::default();
    scanner.read(head.as_bytes());
    assert!(scanner.next_head().is_scanned());
    let mut in_body = vec![scanner.is_in_body()];
    for byte in body.as_bytes() {
        scanner.read(&[*byte]);
        in_body.push(scanner.is_in_body());
    }
    in_body
}

#[test]
fn a_head_is_incomplete_from_its_first_byte_to_its_blank_line() {
    let mut scanner = RequestHeadScanner::default();
    // Blank lines before a request are none of it.
    scanner.read(b"\r\n\r");
    assert!(!scanner.is_in_head());
    scanner.read(b"\n");
    for byte in b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r" {
        scanner.read(&[*byte]);
        assert!(scanner.is_in_head());
    }
    scanner.read(b"\nG");
    assert!(!scanner.is_in_head(), "the body");
    scanner.read(b"E");
    assert!(!scanner.is_in_head(), "the end of the body");
    scanner.read(b"G");
    assert!(scanner.is_in_head());
}

#[test]
fn a_body_has_arrived_with_its_last_byte_and_not_before() {
    let length = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n";
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (head, body) in [
        (length, "abc"),
        (length, "\r\n\r"),
        (chunked, "3\r\nabc\r\n0\r\n\r\n"),
        (chunked, "2;x=y\r\n\r\n\r\n0\r\nT: 1\r\n\r\n"),
    ] {
        let in_body = in_body_after_head(head, body);
        let expected: Vec<_> = (0..=body.len()).map(|count| count < body.len()).collect();
        assert_eq!(in_body, expected, "{head}{body}");
        let behind = in_body_after_head(head, &format!("{body}GET / HTTP/1.1\r\nA: b\r\n\r\n"));
        assert!(behind[body.len()..].iter().all(|is_in_body| !is_in_body), "{head}{body}");
    }
    let ambiguous = in_body_after_head(chunked, "x\r\n");
    assert!(ambiguous.iter().all(|is_in_body| *is_in_body));
}
