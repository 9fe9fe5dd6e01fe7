//! Where the events of a `text/event-stream` end, however its bytes arrive.

use {
    coveproxy::connection::front::{EventScanner, EventSplitter},
    rstest::rstest,
};

/// Scans the bytes in pieces of this size.
fn scan(
    bytes: &[u8],
    size: usize,
) -> EventScanner {
    let mut scanner = EventScanner::default();
    for piece in bytes.chunks(size) {
        scanner.scan(piece);
    }
    scanner
}

/// Guards against complete streams that are taken for broken ones, and the reverse.
#[rstest]
#[case::lf(b"id: 1\ndata: a\n\n", false, true)]
#[case::crlf(b"id: 1\r\ndata: a\r\n\r\n", false, true)]
#[case::cr(b"id: 1\rdata: a\r\r", false, true)]
#[case::mixed(b"id: 1\r\ndata: a\n\r\n", false, true)]
#[case::further_empty_lines(b"data: a\n\n\n\n", false, true)]
#[case::comment(b"data: a\n\n: ping\n", false, true)]
#[case::comment_without_line_end(b"data: a\n\n: pi", false, true)]
#[case::comment_and_empty_line(b": ping\n\n", false, false)]
#[case::byte_order_mark(b"\xef\xbb\xbfdata: a\n\n", false, true)]
#[case::byte_order_mark_alone(b"\xef\xbb\xbf", false, false)]
#[case::begun_byte_order_mark(b"\xef\xbbdata", true, false)]
#[case::nothing(b"", false, false)]
#[case::no_empty_line(b"id: 1\ndata: a\n", true, false)]
#[case::no_empty_line_crlf(b"id: 1\r\ndata: a\r\n", true, false)]
#[case::mid_line(b"data: a\n\nid: 2", true, true)]
#[case::comment_inside_event(b"data: a\n: ping\n", true, false)]
#[case::field_without_colon(b"data\n\nevent", true, true)]
fn the_end_of_the_last_event_is_known(
    #[case] bytes: &[u8],
    #[case] in_event: bool,
    #[case] has_event: bool,
) {
    for size in 1..=bytes.len().max(1) {
        let scanner = scan(bytes, size);
        let seen = (scanner.is_in_event(), scanner.has_event());
        assert_eq!(seen, (in_event, has_event), "in pieces of {size}");
    }
}

/// Guards against a splitter that loses, holds back or doubles bytes of a complete stream.
#[rstest]
#[case::lf(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::crlf(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
#[case::cr(b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r")]
#[case::comments(b": a\n\nid: 1\ndata: a\n\n: b\nid: 2\n: c\ndata: b\n\n: end")]
fn a_complete_stream_passes_unaltered(#[case] bytes: &[u8]) {
    for size in 1..=bytes.len() {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for piece in bytes.chunks(size) {
            passed.extend_from_slice(&splitter.take(piece).unwrap());
        }
        passed.extend_from_slice(&splitter.take_rest());
        assert_eq!(passed, bytes, "in pieces of {size}");
        assert_eq!(splitter.last_id(), Some(2));
    }
}

/// Guards against events that come twice or in part, when another target goes on after a break.
#[rstest]
#[case::lf("\n")]
#[case::crlf("\r\n")]
#[case::cr("\r")]
fn a_resumed_stream_has_each_event_once(#[case] line_end: &str) {
    let event = |id: u32| format!("id: {id}{line_end}data: {id}{line_end}{line_end}");
    let first = event(1) + &event(2) + &event(3)[..8];
    let second = event(2) + &event(3) + &event(4);
    for size in 1..=second.len() {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for answer in [&first, &second] {
            splitter.discard_partial();
            for piece in answer.as_bytes().chunks(size) {
                passed.extend_from_slice(&splitter.take(piece).unwrap());
            }
        }
        let passed = String::from_utf8(passed).unwrap();
        let passed = passed.replace("\r\n", "\n").replace('\r', "\n");
        let expected: String = (1..=4)
            .map(|id| format!("id: {id}\ndata: {id}\n\n"))
            .collect();
        let without_empty = |text: &str| text.replace("\n\n\n", "\n\n");
        assert_eq!(without_empty(&passed), expected, "in pieces of {size}");
    }
}
