//! Tests of HTTP/1 parsing and framing.

mod properties;

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};

use super::*;

/// A reader that returns one byte at a time, which tests every split of the input.
struct OneByteReader(Vec<u8>, usize);

impl AsyncRead for OneByteReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(byte) = self.0.get(self.1).copied() {
            buffer.put_slice(&[byte]);
            self.1 += 1;
        }
        Poll::Ready(Ok(()))
    }
}

fn reader(text: &str) -> HttpReader<OneByteReader> {
    HttpReader::new(OneByteReader(text.as_bytes().to_vec(), 0))
}

async fn framing_of(fields: &str) -> Result<Framing, ReadFault> {
    let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    let head = reader(&text).request_head(4_096).await?;
    Ok(head.framing()?)
}

#[tokio::test]
async fn ambiguous_framing_is_rejected() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: \r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "X-A: b\r\n c\r\n",
        "Host: other\r\n",
    ] {
        assert!(framing_of(fields).await.is_err(), "{fields:?}");
    }
}

#[tokio::test]
async fn unambiguous_framing_is_parsed() {
    for (fields, expected) in [
        ("", Framing::Length(0)),
        ("Content-Length: 12\r\n", Framing::Length(12)),
        ("Transfer-Encoding: Chunked\r\n", Framing::Chunked),
    ] {
        assert_eq!(framing_of(fields).await.expect(fields), expected);
    }
}

#[tokio::test]
async fn request_targets_other_than_paths_are_rejected() {
    for target in ["http://h/a", "*", "h:80"] {
        let text = format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n");
        assert!(reader(&text).request_head(4_096).await.is_err(), "{target}");
    }
}

#[tokio::test]
async fn chunks_are_joined_and_the_next_request_follows() {
    let text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
                3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    let mut reader = reader(text);
    let head = reader.request_head(4_096).await.expect("a head");
    let framing = head.framing().expect("framing");
    let body = reader.body(framing, 100).await.expect("a body");
    assert_eq!(&body[..], b"abcde");
    let next = reader.request_head(4_096).await.expect("the next head");
    assert_eq!(next.path, "/b");
}

#[tokio::test]
async fn malformed_chunks_are_rejected() {
    for body in [
        "x\r\n",
        "3\nabc\r\n",
        "3\r\nabcd\r\n",
        "-1\r\n",
        "\r\n",
        "0x3\r\nabc\r\n",
    ] {
        let result = reader(body).body(Framing::Chunked, 100).await;
        assert!(
            matches!(result, Err(ReadFault::Head(_))),
            "{body:?}: {result:?}"
        );
    }
}

#[tokio::test]
async fn limits_on_heads_and_bodies_are_enforced() {
    let long = format!("GET /{} HTTP/1.1\r\nHost: h\r\n\r\n", "a".repeat(300));
    let result = reader(&long).request_head(200).await;
    assert!(matches!(result, Err(ReadFault::Head(HeadFault::TooLarge))));
    let result = reader("abc").body(Framing::Length(101), 100).await;
    assert!(matches!(result, Err(ReadFault::BodyTooLarge)));
    let result = reader("80\r\n").body(Framing::Chunked, 100).await;
    assert!(result.is_err());
}

/// The connection ends within a body. The truncated body must not look complete.
#[tokio::test]
async fn a_truncated_body_is_an_error_unless_it_ends_by_close() {
    let result = reader("ab").body(Framing::Length(3), 100).await;
    assert!(matches!(result, Err(ReadFault::Truncated)));
    let result = reader("3\r\nab").body(Framing::Chunked, 100).await;
    assert!(matches!(result, Err(ReadFault::Truncated)));
    let whole = reader("ab").body(Framing::UntilClose, 100).await;
    assert_eq!(&whole.expect("a whole body")[..], b"ab");
}

#[tokio::test]
async fn interim_responses_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let head = reader(text).response_head(4_096).await.expect("a head");
    assert_eq!(head.status, 204);
    assert_eq!(head.framing("GET").expect("framing"), Framing::Length(0));
}

async fn response_framing(text: &str) -> Result<Framing, ReadFault> {
    let head = reader(text).response_head(4_096).await?;
    Ok(head.framing("GET")?)
}

/// Guards against forwarding an answer whose status has no meaning: statuses are 100 to 599.
#[tokio::test]
async fn answers_with_an_invalid_status_are_rejected() {
    for status in [
        "000", "001", "099", "600", "999", "20", "2000", "2x0", "-20", "+20",
    ] {
        let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
        let result = reader(&text).response_head(4_096).await;
        assert!(
            matches!(result, Err(ReadFault::Head(_))),
            "{status}: {result:?}"
        );
    }
    for status in [200, 204, 299, 304, 404, 451, 503, 599] {
        let text = format!("HTTP/1.1 {status} Fine\r\nContent-Length: 0\r\n\r\n");
        let head = reader(&text).response_head(4_096).await;
        assert_eq!(head.expect("a head").status, status);
    }
}

/// Guards against taking what follows a change of protocols, which was never requested, for
/// an answer.
#[tokio::test]
async fn a_switch_of_protocols_is_rejected() {
    let text = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\
                HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert!(response_framing(text).await.is_err());
}

/// Guards against fields that other parsers read differently, so that a field or a body that
/// is not the target's reaches the caller.
#[tokio::test]
async fn answers_with_malformed_fields_are_rejected() {
    for field in [
        "X-A : b",
        "X A: b",
        " X-A: b",
        "X-A\t: b",
        "X-\x01A: b",
        "X-\x7fA: b",
        "X-\0A: b",
        ": b",
        "X-A",
        "X-A: b\r\n folded",
        "X-A: b\r\n\tfolded",
        "X-A: b\x01c",
        "X-A: b\0c",
        "X-A: b\x7fc",
        "X-A: b\rc",
        "X(A): b",
        "Content-Length : 3",
        "Transfer-Encoding : chunked",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\n{field}\r\nContent-Length: 0\r\n\r\n");
        let result = reader(&text).response_head(4_096).await;
        assert!(
            matches!(result, Err(ReadFault::Head(_))),
            "{field:?}: {result:?}"
        );
    }
}

/// Guards against a body whose end two parsers see in different places.
#[tokio::test]
async fn answers_with_ambiguous_framing_are_rejected() {
    for (version, fields) in [
        ("1.1", "Content-Length: 3\r\nContent-Length: 4\r\n"),
        ("1.1", "Content-Length: 3, 4\r\n"),
        ("1.1", "Content-Length: +3\r\n"),
        ("1.1", "Content-Length: \r\n"),
        ("1.1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        (
            "1.1",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        ),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        ),
        ("1.1", "Transfer-Encoding: gzip, chunked\r\n"),
        ("1.1", "Transfer-Encoding: identity\r\n"),
        ("1.1", "Transfer-Encoding:\r\n"),
        ("1.0", "Transfer-Encoding: chunked\r\n"),
    ] {
        let text = format!("HTTP/{version} 200 OK\r\n{fields}\r\n");
        assert!(
            response_framing(&text).await.is_err(),
            "{version} {fields:?}"
        );
    }
    for fields in ["Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"] {
        let text = format!("HTTP/1.1 204 No Content\r\n{fields}\r\n");
        assert!(response_framing(&text).await.is_err(), "204 {fields:?}");
    }
}

/// Guards against rejecting answers whose framing is valid.
#[tokio::test]
async fn answers_with_unambiguous_framing_are_parsed() {
    for (head, expected) in [
        (
            "1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
            Framing::Length(3),
        ),
        (
            "1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n",
            Framing::Chunked,
        ),
        ("1.0 200 OK\r\n", Framing::UntilClose),
        (
            "1.1 204 No Content\r\nContent-Length: 0\r\n",
            Framing::Length(0),
        ),
        (
            "1.1 304 Not Modified\r\nContent-Length: 3\r\n",
            Framing::Length(0),
        ),
        ("1.1 200\r\n", Framing::UntilClose),
    ] {
        let text = format!("HTTP/{head}\r\n");
        assert_eq!(
            response_framing(&text).await.expect(head),
            expected,
            "{head}"
        );
    }
}

#[test]
fn hop_by_hop_fields_are_removed() {
    let mut fields = Vec::new();
    for (name, value) in [
        ("Connection", "keep-alive, X-Private"),
        ("x-private", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "3"),
        ("X-Kept", "yes"),
    ] {
        fields.push(hornbeamhitch_wire::link::HeaderField {
            name: name.to_owned(),
            value: value.into(),
        });
    }
    strip_hop_by_hop(&mut fields);
    let names: Vec<&str> = fields.iter().map(|field| field.name.as_str()).collect();
    assert_eq!(names, ["X-Kept"]);
}
