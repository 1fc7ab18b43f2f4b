//! Property tests with arbitrary bytes, and with requests that are split anywhere.

use bytes::Buf;
use bytes::Bytes;
use proptest::prelude::*;

use super::super::*;
use super::OneByteReader;
use crate::prelude::*;

const MAX_HEAD_BYTES: usize = 4_096;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime")
}

/// Arbitrary bytes, most of which are valid or nearly valid parts of a head.
fn malformed_input() -> impl Strategy<Value = Vec<u8>> {
    let pieces = prop_oneof![
        Just(b"GET /a HTTP/1.1\r\n".to_vec()),
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"Host: h\r\n".to_vec()),
        Just(b"Content-Length: 3\r\n".to_vec()),
        Just(b"Content-Length: +3\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"Transfer-Encoding: xchunked\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"3\r\nabc\r\n0\r\n\r\n".to_vec()),
        Just(b"ffffffffffffffffff\r\n".to_vec()),
        Just(b" \t".to_vec()),
        proptest::collection::vec(any::<u8>(), 0..12),
    ];
    proptest::collection::vec(pieces, 0..12).prop_map(|pieces| pieces.concat())
}

/// Encodes a body with its length, or in chunks if `chunk_bytes` is not 0.
fn encoded(body: &[u8], chunk_bytes: usize) -> String {
    let text = std::str::from_utf8(body).expect("letters");
    if chunk_bytes == 0 {
        return format!("Content-Length: {}\r\n\r\n{text}", body.len());
    }
    let mut out = "Transfer-Encoding: chunked\r\n\r\n".to_owned();
    for chunk in body.chunks(chunk_bytes) {
        let chunk = std::str::from_utf8(chunk).expect("letters");
        out.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    out.push_str("0\r\n\r\n");
    out
}

proptest! {
    /// For any input, reading ends with a head, a body, an error or the end of the
    /// connection, and never with a panic.
    #[test]
    fn arbitrary_bytes_never_cause_a_panic(bytes in malformed_input()) {
        runtime().block_on(async {
            let mut reader = HttpReader::new(OneByteReader(bytes.clone(), 0));
            while let Ok(head) = reader.request_head(MAX_HEAD_BYTES).await {
                let Ok(framing) = head.framing() else {
                    break;
                };
                if reader.body(framing, 1_000).await.is_err() {
                    break;
                }
            }
            let mut reader = HttpReader::new(OneByteReader(bytes, 0));
            while let Ok(head) = reader.response_head(MAX_HEAD_BYTES).await {
                let Ok(framing) = head.framing("GET") else {
                    break;
                };
                if reader.body(framing, 1_000).await.is_err() {
                    break;
                }
            }
        });
    }

    /// Consecutive requests on a connection are read as they were sent. None consumes
    /// bytes of the next one, whichever framing their bodies have.
    #[test]
    fn consecutive_requests_are_separated(
        sent in proptest::collection::vec(("[a-z]{0,40}", 0_usize..7), 1..6),
    ) {
        let mut text = String::new();
        for (number, (body, chunk_bytes)) in sent.iter().enumerate() {
            text.push_str(&format!("POST /{number} HTTP/1.1\r\nHost: h\r\n"));
            text.push_str(&encoded(body.as_bytes(), *chunk_bytes));
        }
        let read = runtime().block_on(async {
            let mut reader = HttpReader::new(OneByteReader(text.into_bytes(), 0));
            let mut read = Vec::new();
            while let Ok(head) = reader.request_head(MAX_HEAD_BYTES).await {
                let framing = head.framing().expect("a clear framing");
                let body = reader.body(framing, 1_000).await.expect("a body");
                read.push((head.path, body));
            }
            read
        });
        let mut expected = Vec::new();
        for (number, (body, _)) in sent.iter().enumerate() {
            expected.push((format!("/{number}"), Bytes::from(body.clone())));
        }
        prop_assert_eq!(read, expected);
    }

    /// A target that parses an encoded request gets what the caller sent.
    #[test]
    fn an_encoded_request_is_parsed_back(
        path in "/[a-z0-9/?=&%]{0,40}",
        values in proptest::collection::vec("[!-~]([ -~]{0,20}[!-~])?", 0..5),
        body in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut fields = vec![HeaderField {
            name: "Host".to_owned(),
            value: "h".into(),
        }];
        for (number, value) in values.iter().enumerate() {
            fields.push(HeaderField {
                name: format!("X-Own-{number}"),
                value: value.clone().into(),
            });
        }
        let mut encoded = request("POST", &path, &fields, body.clone().into()).into_buf();
        let bytes = encoded.copy_to_bytes(encoded.remaining());
        let (head, read) = runtime().block_on(async {
            let mut reader = HttpReader::new(OneByteReader(bytes.to_vec(), 0));
            let head = reader.request_head(MAX_HEAD_BYTES).await.expect("a head");
            let framing = head.framing().expect("a clear framing");
            (head, reader.body(framing, 1_000).await.expect("a body"))
        });
        prop_assert_eq!(&head.path, &path);
        prop_assert_eq!(read.as_ref(), body.as_slice());
        for (number, value) in values.iter().enumerate() {
            let kept = field(&head.fields, &format!("X-Own-{number}"));
            prop_assert_eq!(kept, Some(value.as_str()));
        }
    }
}
