//! HTTP/1.1 towards targets, against a peer that answers from a script.

use {
    bytes::BytesMut,
    coveproxy::{
        connection::http1::{
            BodyDecoder, BodyFraming, CallClient, CallEnd, CallFailure, CallHeaders, CallLimit,
            Decoded, ExchangeError, HttpConnection, ResponseHead,
        },
        formats::HttpCall,
    },
    http::Method,
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinSet,
    },
};

const REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi";

const MORE_THAN_THE_BODY: ExchangeError = ExchangeError::Nonsense("more bytes than the body has");

/// What a scripted peer does on its next connection.
enum Script {
    /// Reads the request, then writes this and keeps the connection.
    Answer(&'static [u8]),
    /// The same, but closes afterwards.
    AnswerAndClose(&'static [u8]),
    /// The same, but resets afterwards.
    AnswerAndReset(&'static [u8]),
    /// Writes this before it reads anything.
    AnswerFirst(&'static [u8]),
}

async fn peer(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        match script {
            Script::Answer(bytes) => {
                read_request(&mut stream).await;
                stream.write_all(bytes).await.unwrap();
                std::future::pending::<()>().await;
            }
            Script::AnswerAndClose(bytes) => {
                read_request(&mut stream).await;
                stream.write_all(bytes).await.unwrap();
            }
            Script::AnswerAndReset(bytes) => {
                read_request(&mut stream).await;
                stream.write_all(bytes).await.unwrap();
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().unwrap();
            }
            Script::AnswerFirst(bytes) => {
                stream.write_all(bytes).await.unwrap();
                std::future::pending::<()>().await;
            }
        }
    });
    address
}

async fn read_request(stream: &mut TcpStream) {
    let mut bytes = [0u8; 4096];
    let mut seen = Vec::new();
    while !seen.ends_with(b"hi") {
        let size = stream.read(&mut bytes).await.unwrap();
        assert!(size > 0);
        seen.extend_from_slice(&bytes[..size]);
    }
}

fn is_mine(head: &ResponseHead) -> bool {
    head.headers.get("x-id").is_some_and(|id| id == "mine")
}

async fn exchange(
    script: Script
) -> Result<(ResponseHead, Result<Vec<u8>, ExchangeError>), ExchangeError> {
    let mut connection = HttpConnection::open(peer(script).await).await.unwrap();
    let (head, _) = connection.exchange(REQUEST, &Method::POST, is_mine).await?;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    let body = loop {
        match connection.body_piece(&mut decoder).await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break Ok(body),
            Err(problem) => break Err(problem),
        }
    };
    Ok((head, body))
}

/// Whole answers in each framing, and answers that are not whole.
#[rstest]
#[case::length(
    Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 3\r\n\r\nabc"),
    Ok("abc")
)]
#[case::chunked(Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"), Ok("abc"))]
#[case::chunked_with_trailer(Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\n\r\n"), Ok("abc"))]
#[case::no_length(
    Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nabc"),
    Ok("abc")
)]
#[case::no_length_reset(
    Script::AnswerAndReset(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nabc"),
    Err(ExchangeError::Reset)
)]
#[case::length_cut(
    Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 9\r\n\r\nabc"),
    Err(ExchangeError::Closed)
)]
#[case::chunks_cut(
    Script::AnswerAndClose(
        b"HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
    ),
    Err(ExchangeError::Closed)
)]
#[case::empty(
    Script::Answer(b"HTTP/1.1 204 No Content\r\nx-id: mine\r\n\r\n"),
    Ok("")
)]
#[case::interim_first(
    Script::Answer(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\na"
    ),
    Ok("a")
)]
#[case::surplus_first(Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 3\r\n\r\nxyzHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\na"), Ok("a"))]
#[case::two_surplus_first(Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: o\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nHTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\na"), Ok("a"))]
#[case::more_behind(
    Script::Answer(
        b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n"
    ),
    Ok("a")
)]
#[case::more_behind_that_begins_no_answer(
    Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\nabc"),
    Err(MORE_THAN_THE_BODY)
)]
#[case::more_behind_the_last_chunk(
    Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n1\r\n"),
    Err(MORE_THAN_THE_BODY)
)]
#[case::rest_of_the_head_behind_a_split_line(
    Script::AnswerAndClose(
        b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nplit\r\nContent-Length: 1\r\n\r\nb"
    ),
    Err(ExchangeError::Nonsense("the body begins with a head"))
)]
#[case::a_whole_message(
    Script::AnswerAndClose(
        b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nGET / HTTP/1.1\r\nConnection: close\r\n\r\nb"
    ),
    Ok("GET / HTTP/1.1\r\nConnection: close\r\n\r\nb")
)]
#[case::lines_of_text(
    Script::AnswerAndClose(
        b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nState\r\nConnection: lost\r\n\r\nb"
    ),
    Ok("State\r\nConnection: lost\r\n\r\nb")
)]
#[case::fields_of_no_message(
    Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nNote: a\r\n\r\nb"),
    Ok("Note: a\r\n\r\nb")
)]
#[case::rest_of_the_head(
    Script::AnswerAndClose(
        b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nNote: a\r\nConnection: close\r\n\r\nb"
    ),
    Err(ExchangeError::Nonsense("the body begins with a head"))
)]
#[case::part_of_the_rest_of_the_head(
    Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nContent-Length: 1\r\n"),
    Err(ExchangeError::Nonsense("the body is the rest of a head"))
)]
#[case::chunks_without_their_coding(
    Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\n1\r\na\r\n0\r\n\r\n"),
    Err(ExchangeError::Nonsense("the body holds chunks"))
)]
#[case::some_chunks_without_their_coding(
    Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\n1\r\na\r\n5\r\nab"),
    Err(ExchangeError::Nonsense("the body holds chunks"))
)]
#[case::a_number_in_a_line(
    Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\n12\r\nmonths\r\n"),
    Ok("12\r\nmonths\r\n")
)]
#[tokio::test]
async fn bodies_are_read_whole_or_not_at_all(
    #[case] script: Script,
    #[case] expected: Result<&str, ExchangeError>,
) {
    let (_, body) = exchange(script).await.unwrap();
    let expected = expected.map(|text| text.as_bytes().to_vec());
    assert_eq!(body, expected);
}

#[rstest]
#[case::no_protocol(Script::Answer(b"\x01\x02\x03\x04nonsense\r\n\r\n"))]
#[case::two_lengths(Script::Answer(
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
))]
#[case::bad_length(Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: x\r\n\r\n"))]
#[case::odd_coding(Script::Answer(
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: gzip\r\n\r\n"
))]
#[case::signed_length(Script::Answer(
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: +1\r\n\r\na"
))]
#[case::length_and_coding(Script::Answer(
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
))]
#[case::two_codings(Script::Answer(
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n0\r\n\r\n"
))]
#[case::coding_in_old_version(Script::Answer(
    b"HTTP/1.0 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
))]
#[case::bare_line_feeds(Script::Answer(b"HTTP/1.1 200 OK\nx-id: mine\ncontent-length: 1\n\na"))]
#[case::empty_line_of_a_line_feed(Script::Answer(
    b"HTTP/1.1 200 OK\r\nx-id: mine\n\ncontent-length: 1\r\n\r\na"
))]
#[case::length_of_204(Script::Answer(
    b"HTTP/1.1 204 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\na"
))]
#[case::surplus_with_a_shorter_length(Script::Answer(
    b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\n\r\nxyzHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\na"
))]
#[case::interim_with_a_body(Script::Answer(
    b"HTTP/1.1 100 OK\r\ncontent-length: 1\r\n\r\nHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 1\r\n\r\na"
))]
#[case::closed_at_once(Script::AnswerAndClose(b""))]
#[case::closed_in_the_head(Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mi"))]
#[case::only_a_surplus_answer(Script::AnswerAndClose(
    b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 0\r\n\r\n"
))]
#[tokio::test]
async fn what_is_no_answer_is_none(#[case] script: Script) {
    assert!(exchange(script).await.is_err());
}

#[tokio::test]
async fn an_answer_before_the_request_is_sent_leaves_the_connection_unusable() {
    let early = Script::AnswerFirst(b"HTTP/1.1 413 No\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n");
    let mut connection = HttpConnection::open(peer(early).await).await.unwrap();
    // More than the buffers between the two take, so that it can't be sent to its end.
    let mut request = b"POST /x HTTP/1.1\r\ncontent-length: 64000000\r\n\r\n".to_vec();
    request.resize(64_000_000, b'.');
    let (head, sent_whole) = connection
        .exchange(&request, &Method::POST, is_mine)
        .await
        .unwrap();
    assert_eq!(head.status, 413);
    assert!(!sent_whole);
}

#[rstest]
#[case::kept(
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 0\r\nkeep-alive: timeout=7\r\n\r\n",
    true,
    Some(7)
)]
#[case::told_to_close(
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 0\r\nconnection: Close\r\n\r\n",
    false,
    None
)]
#[case::old_version(
    b"HTTP/1.0 200 OK\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n",
    false,
    None
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\n", false, None)]
fn whether_a_connection_can_be_kept(
    #[case] head: &[u8],
    #[case] keeps_alive: bool,
    #[case] seconds: Option<u64>,
) {
    let mut buffer = BytesMut::from(head);
    let head = ResponseHead::take(&mut buffer, &Method::GET)
        .unwrap()
        .unwrap();
    assert_eq!(head.keeps_alive, keeps_alive);
    assert_eq!(head.idle_limit, seconds.map(Duration::from_secs));
}

#[test]
fn bodies_come_out_however_the_bytes_arrive() {
    let body: &[u8] = b"5\r\nhello\r\n1;ext=1\r\n \r\n5\r\nworld\r\n0\r\n\r\nrest";
    for step in 1..body.len() {
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let mut buffer = BytesMut::new();
        let mut out = Vec::new();
        let mut ended = false;
        for piece in body.chunks(step) {
            buffer.extend_from_slice(piece);
            while !ended {
                match decoder.decode(&mut buffer).unwrap() {
                    Decoded::Data(data) => out.extend_from_slice(&data),
                    Decoded::Incomplete => break,
                    Decoded::End => ended = true,
                }
            }
        }
        assert_eq!(out, b"hello world", "in steps of {step}");
        assert!(ended);
        assert!(b"rest".ends_with(&buffer[..]) || buffer.starts_with(b"rest"));
    }
}

#[rstest]
#[case::no_size(b"zz\r\n")]
#[case::empty_size(b"\r\n\r\n")]
#[case::blank_size(b" \r\n\r\n")]
#[case::extension_alone(b";x\r\n\r\n")]
#[case::signed_size(b"+1\r\na\r\n")]
#[case::no_end(b"1\r\nab\r\n")]
#[case::end_of_a_line_feed(b"1\r\na\n0\r\n\r\n")]
#[case::trailer_without_colon(b"0\r\ngarbage\r\n\r\n")]
#[case::trailer_with_a_blank_in_its_name(b"0\r\nx a: b\r\n\r\n")]
#[case::trailer_without_line_end(b"0\r\nx: a\n\r\n")]
fn nonsense_in_chunks_is_seen(#[case] bytes: &[u8]) {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut buffer = BytesMut::from(bytes);
    let outcome = loop {
        match decoder.decode(&mut buffer) {
            Ok(Decoded::Data(_)) => {}
            Ok(other) => panic!("{other:?}"),
            Err(problem) => break problem,
        }
    };
    assert!(matches!(outcome, ExchangeError::Nonsense(_)));
}

#[tokio::test]
async fn a_resting_connection_that_was_closed_or_spoken_on_is_not_quiet() {
    for (script, quiet) in [
        (
            Script::Answer(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n"),
            true,
        ),
        (
            Script::AnswerAndClose(b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n"),
            false,
        ),
        (
            Script::Answer(
                b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 O",
            ),
            false,
        ),
    ] {
        let mut connection = HttpConnection::open(peer(script).await).await.unwrap();
        connection
            .exchange(REQUEST, &Method::POST, is_mine)
            .await
            .unwrap();
        let mut looks = 0;
        while connection.is_quiet() != quiet {
            tokio::time::sleep(Duration::from_millis(10)).await;
            looks += 1;
            assert!(looks < 500);
        }
    }
}

#[tokio::test]
async fn a_call_without_a_reply_tells_whether_it_may_have_been_done() {
    let call = HttpCall::post("/x".to_string(), b"hi".to_vec());
    let limit = CallLimit::transfer(Duration::from_millis(300), Duration::from_secs(60));
    let silent = peer(Script::Answer(b"")).await;
    let outcome = CallClient::new(silent)
        .call(&call, &CallHeaders::default(), limit)
        .await;
    let timed_out = CallFailure {
        sent: true,
        received: 0,
        end: CallEnd::TimedOut,
    };
    assert_eq!(outcome, Err(timed_out));
    let cut = peer(Script::Answer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nsome",
    ));
    let outcome = CallClient::new(cut.await)
        .call(&call, &CallHeaders::default(), limit)
        .await;
    let after_some = CallFailure {
        received: 4,
        ..timed_out
    };
    assert_eq!(outcome, Err(after_some));
    let talking_limit = CallLimit::transfer(Duration::from_secs(60), Duration::from_millis(300));
    let stopped = peer(Script::Answer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nsome",
    ));
    let outcome = CallClient::new(stopped.await)
        .call(&call, &CallHeaders::default(), talking_limit)
        .await;
    let fell_silent = CallFailure {
        end: CallEnd::Silent,
        ..after_some
    };
    assert_eq!(outcome, Err(fell_silent));
    let nobody = {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    };
    let outcome = CallClient::new(nobody)
        .call(&call, &CallHeaders::default(), limit)
        .await;
    let not_sent = CallFailure {
        sent: false,
        received: 0,
        end: CallEnd::Broken(ExchangeError::NoConnection),
    };
    assert_eq!(outcome, Err(not_sent));
}

/// Longest name that is tried; instructions for many bytes at once take up to 64.
const MAX_NAME: usize = 160;

/// A head with one field of this name.
fn head_with_name(name: &[u8]) -> BytesMut {
    let parts = [
        b"HTTP/1.1 200 OK\r\n",
        name,
        b": x\r\ncontent-length: 0\r\n\r\n",
    ];
    BytesMut::from(&parts.concat()[..])
}

/// Asserts that no head is taken whose field's name holds one of these bytes, at any place of names of any length.
fn assert_refused_in_names(bytes: impl Iterator<Item = u8> + Clone) {
    for length in 1..=MAX_NAME {
        let sound = vec![b'x'; length];
        let head = ResponseHead::take(&mut head_with_name(&sound), &Method::GET);
        assert!(matches!(head, Ok(Some(_))), "{length}: {head:?}");
        for place in 0..length {
            for byte in bytes.clone() {
                let mut name = sound.clone();
                name[place] = byte;
                let head = ResponseHead::take(&mut head_with_name(&name), &Method::GET);
                assert!(head.is_err(), "{byte:#x} at {place} of {length}: {head:?}");
            }
        }
    }
}

#[test]
fn no_blank_passes_in_a_name() {
    assert_refused_in_names([b' ', b'\t'].into_iter());
}

#[test]
fn no_control_byte_passes_in_a_name() {
    assert_refused_in_names((0..b' ').chain([0x7f]));
}

#[test]
fn no_other_byte_that_names_have_not_passes_in_one() {
    let separators = b"\"(),/;<=>?@[\\]{}".iter().copied();
    assert_refused_in_names(separators.chain(0x80..=0xff));
}

/// Statuses that HTTP knows are taken, and no others; 101 answers no request of a host.
#[test]
fn statuses_are_those_of_http() {
    let take = |status: &str| {
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: 0\r\n\r\n");
        ResponseHead::take(&mut BytesMut::from(head.as_bytes()), &Method::GET)
    };
    for status in 0..=999u16 {
        let head = take(&format!("{status:03}"));
        let is_known = (100..=599).contains(&status) && status != 101;
        assert_eq!(matches!(&head, Ok(Some(_))), is_known, "{status}: {head:?}");
    }
    for status in ["", "0", "00", "0000", "2000", "+20", "-20", "2x0", "20 0"] {
        assert!(take(status).is_err(), "{status:?}");
    }
}

/// Sound heads that are read strictly and pass.
#[rstest]
#[case::no_reason("HTTP/1.1 200\r\ncontent-length: 5\r\n\r\n")]
#[case::empty_reason("HTTP/1.1 200 \r\ncontent-length: 5\r\n\r\n")]
#[case::same_length_twice("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\n")]
#[case::blanks_around_the_value("HTTP/1.1 200 OK\r\ncontent-length: \t 5 \t\r\n\r\n")]
#[case::no_blank_before_the_value("HTTP/1.1 200 OK\r\ncontent-length:5\r\n\r\n")]
#[case::empty_value("HTTP/1.1 200 OK\r\nx:\r\ncontent-length: 5\r\n\r\n")]
#[case::bytes_over_0x7f("HTTP/1.1 200 OK\r\nx: \u{e9}\u{ff}\r\ncontent-length: 5\r\n\r\n")]
#[case::line_end_before("\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")]
fn sound_heads_pass(#[case] head: &str) {
    let head = ResponseHead::take(&mut BytesMut::from(head.as_bytes()), &Method::GET);
    assert_eq!(head.unwrap().unwrap().framing, BodyFraming::Length(5));
}

#[test]
fn a_head_of_many_fields_passes() {
    let fields: String = (0..60)
        .map(|number| format!("x-{number}: {number}\r\n"))
        .collect();
    let head = format!("HTTP/1.1 200 OK\r\n{fields}content-length: 5\r\n\r\n");
    let head = ResponseHead::take(&mut BytesMut::from(head.as_bytes()), &Method::GET);
    assert_eq!(head.unwrap().unwrap().framing, BodyFraming::Length(5));
}

/// Orders, reports and the store's replies are read as strictly as answers to requests.
#[rstest]
#[case::shorter_length(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nabc")]
#[case::empty_line(b"HTTP/1.1 200 OK\r\n\r\ncontent-length: 1\r\n\r\na")]
#[case::coding_misspelt(
    b"HTTP/1.1 200 OK\r\ntransfer-encodinq: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
)]
#[case::no_field(b"HTTP/1.1 200 OK\r\ngarbage\r\ncontent-length: 1\r\n\r\na")]
#[case::status_000(b"HTTP/1.1 000 OK\r\ncontent-length: 1\r\n\r\na")]
#[case::status_0(b"HTTP/1.1 0 OK\r\ncontent-length: 1\r\n\r\na")]
#[case::status_00(b"HTTP/1.1 00 OK\r\ncontent-length: 1\r\n\r\na")]
#[case::status_099(b"HTTP/1.1 099 OK\r\ncontent-length: 1\r\n\r\na")]
#[case::status_600(b"HTTP/1.1 600 OK\r\ncontent-length: 1\r\n\r\na")]
#[tokio::test]
async fn a_call_takes_no_malformed_reply(#[case] reply: &'static [u8]) {
    let call = HttpCall::post("/x".to_string(), b"hi".to_vec());
    let limit = CallLimit::whole(Duration::from_secs(60));
    let address = peer(Script::AnswerAndClose(reply)).await;
    let outcome = CallClient::new(address)
        .call(&call, &CallHeaders::default(), limit)
        .await;
    let end = outcome.unwrap_err().end;
    assert!(
        matches!(end, CallEnd::Broken(ExchangeError::Nonsense(_))),
        "{end:?}"
    );
}

/// A reply that ends behind any of its bytes but the last one is none: at once where its connection ends, after the silence that the
/// call allows where it stays open.
#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nstore-era: 1\r\ncontent-length: 12\r\n\r\ntwelve bytes")]
#[case::coding(
    b"HTTP/1.1 200 OK\r\nstore-era: 1\r\ntransfer-encoding: chunked\r\n\r\n6\r\ntwelve\r\n0\r\n\r\n"
)]
#[tokio::test]
async fn a_call_takes_no_part_of_a_reply(
    #[case] reply: &'static [u8],
    #[values(false, true)] closes: bool,
) {
    let call = HttpCall::post("/x".to_string(), b"hi".to_vec());
    let silence = match closes {
        true => Duration::from_secs(60),
        false => Duration::from_millis(500),
    };
    let limit = CallLimit::transfer(Duration::from_secs(60), silence);
    let mut running = JoinSet::new();
    for size in 1..reply.len() {
        let call = call.clone();
        running.spawn(async move {
            let script = match closes {
                true => Script::AnswerAndClose(&reply[..size]),
                false => Script::Answer(&reply[..size]),
            };
            let mut client = CallClient::new(peer(script).await);
            let outcome = client.call(&call, &CallHeaders::default(), limit).await;
            (size, outcome)
        });
    }
    for (size, outcome) in running.join_all().await {
        let failure = outcome.expect_err(&format!("{:?}", reply[..size].escape_ascii()));
        assert!(failure.sent);
        let is_broken = matches!(
            failure.end,
            CallEnd::Broken(ExchangeError::Closed | ExchangeError::BrokenOff)
        );
        let is_expected = is_broken == closes && (closes || failure.end == CallEnd::Silent);
        assert!(is_expected, "{size}: {failure:?}");
    }
}
