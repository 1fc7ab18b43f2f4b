//! Tests of decoding frames that arrive in pieces, and of malformed input.

use hornbeamhitch_types::crash::{CrashId, CrashRecord};
use proptest::prelude::*;

use super::*;

fn message() -> impl Strategy<Value = ToGate> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from);
    prop_oneof![
        (any::<u64>(), bytes()).prop_map(|(id, part)| ToGate::Body {
            id: CallId(id),
            part
        }),
        any::<u64>().prop_map(|id| ToGate::Cancel { id: CallId(id) }),
        (any::<u64>(), any::<u128>()).prop_map(|(id, key)| ToGate::Fence {
            id: CallId(id),
            key: CallKey(key)
        }),
        bytes().prop_map(ToGate::Facts),
        (any::<u128>(), any::<u64>(), bytes()).prop_map(|(hash, whole_bytes, part)| {
            ToGate::FactsPart {
                digest: PartDigest::new(hash),
                whole_bytes,
                part,
            }
        }),
        Just(ToGate::Ping),
        (any::<u64>(), any::<u64>(), any::<bool>()).prop_map(|(fingerprint, number, flag)| {
            ToGate::Crashes(CrashNotice {
                fingerprint,
                crashes: vec![CrashRecord {
                    id: CrashId { target: 1, number },
                    was_trial: flag,
                    is_cleared: !flag,
                    age_ms: Millis(number),
                }],
            })
        }),
    ]
}

fn decode_all(buffer: &mut BytesMut) -> Result<Vec<ToGate>, WireError> {
    let mut messages = Vec::new();
    while let Some(message) = decode(buffer)? {
        messages.push(message);
    }
    Ok(messages)
}

proptest! {
    /// However the network splits the stream, each frame is decoded whole, once and in
    /// order.
    #[test]
    fn frames_round_trip_in_any_pieces(
        messages in proptest::collection::vec(message(), 0..12),
        piece_bytes in 1_usize..64,
    ) {
        let mut stream = BytesMut::new();
        for message in &messages {
            encode(message, &mut stream).expect("a short frame");
        }
        let mut buffer = BytesMut::new();
        let mut read = Vec::new();
        for piece in stream.chunks(piece_bytes) {
            buffer.put_slice(piece);
            read.extend(decode_all(&mut buffer).expect("good frames"));
        }
        prop_assert_eq!(read, messages);
        prop_assert!(buffer.is_empty());
    }

    /// Arbitrary bytes lead to an error or to waiting for more, and never to a panic or
    /// to a growing buffer.
    #[test]
    fn arbitrary_bytes_never_cause_a_panic(
        length in 0_u32..400,
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let mut buffer = BytesMut::new();
        buffer.put_u32_le(length);
        buffer.put_slice(&bytes);
        let before = buffer.len();
        if decode_all(&mut buffer).is_ok() {
            prop_assert!(buffer.len() <= before);
        }
    }
}

#[test]
fn an_oversized_frame_is_rejected_by_its_length_alone() {
    let mut buffer = BytesMut::new();
    buffer.put_u32_le(u32::MAX);
    assert!(matches!(
        decode::<ToGate>(&mut buffer),
        Err(WireError::TooLong { .. })
    ));
}

#[test]
fn an_oversized_message_is_not_encoded() {
    let facts = ToGate::Facts(Bytes::from(vec![0; MAX_FRAME_BYTES + 1]));
    let mut stream = BytesMut::new();
    assert!(matches!(
        encode(&facts, &mut stream),
        Err(WireError::TooLong { .. })
    ));
    assert!(stream.is_empty());
}
