//! The meter of messages between hosts, without I/O.

use gaplock_serve::budget::{Bytes, Phase};
use gaplock_serve::messages::{MessageError, Meter};
use proptest::prelude::*;

const MAX: Bytes = Bytes(1_000);
const OPENING: &[u8] = b"GET / HTTP/1.1\r\nUpgrade: websocket\r\n\r\n";
const ACCEPTED: &[u8] = b"HTTP/1.1 101 Switching Protocols\r\n\r\n";

/// What a message is charged besides its bytes.
const OVERHEAD: u64 = 1_024;

/// Builds a frame of `len` bytes; `first` is its first byte.
fn frame(first: u8, masked: bool, len: usize) -> Vec<u8> {
    let mut frame = vec![first];
    let mask = if masked { 0x80 } else { 0 };
    match len {
        0..=125 => frame.push(mask | len as u8),
        126..=0xffff => {
            frame.push(mask | 126);
            frame.extend((len as u16).to_be_bytes());
        }
        _ => {
            frame.push(mask | 127);
            frame.extend((len as u64).to_be_bytes());
        }
    }
    frame.extend(vec![0; if masked { 4 } else { 0 } + len]);
    frame
}

fn open() -> Meter {
    let mut meter = Meter::new(MAX);
    assert_eq!(meter.phase(), Phase::Reading);
    assert_eq!(meter.receive(OPENING), Ok(Bytes(0)));
    assert_eq!(meter.send(ACCEPTED), Ok(Bytes(0)));
    assert_eq!(meter.phase(), Phase::Idle);
    meter
}

#[test]
fn a_message_is_charged_when_it_is_announced_and_until_it_is_answered() {
    let mut meter = open();
    let message = frame(0x81, true, 300);
    assert_eq!(meter.receive(&message[..8]), Ok(Bytes(300 + OVERHEAD)));
    assert_eq!(meter.phase(), Phase::Reading);
    assert_eq!(meter.receive(&message[8..]), Ok(Bytes(0)));
    assert_eq!(meter.phase(), Phase::Busy);
    let (ping, pong) = (frame(0x89, true, 5), frame(0x8a, false, 5));
    assert_eq!(meter.receive(&ping), Ok(Bytes(0)));
    assert_eq!(meter.send(&pong), Ok(Bytes(0)));
    let answer = frame(0x81, false, 70_000);
    assert_eq!(meter.send(&answer[..100]), Ok(Bytes(0)));
    assert_eq!(meter.send(&answer[100..]), Ok(Bytes(300 + OVERHEAD)));
    assert_eq!(meter.phase(), Phase::Idle);
}

#[test]
fn fragments_are_one_message() {
    let mut meter = open();
    assert_eq!(meter.receive(&frame(0x01, true, 400)), Ok(Bytes(400 + OVERHEAD)));
    assert_eq!(meter.receive(&frame(0x00, true, 400)), Ok(Bytes(400)));
    assert_eq!(meter.phase(), Phase::Reading);
    assert_eq!(meter.receive(&frame(0x00, true, 201)), Err(MessageError::TooLarge));
    let mut meter = open();
    let text = [frame(0x01, true, 400), frame(0x89, true, 0), frame(0x80, true, 0)].concat();
    assert_eq!(meter.receive(&text), Ok(Bytes(400 + OVERHEAD)));
    assert_eq!(meter.phase(), Phase::Busy);
    assert_eq!(meter.send(&frame(0x81, false, 2)), Ok(Bytes(400 + OVERHEAD)));
}

#[test]
fn what_carries_no_messages_is_refused() {
    let refused = |text: &[u8]| Meter::new(MAX).receive(text);
    assert_eq!(refused(b"PRI * HTTP/2.0\r\n\r\n"), Err(MessageError::Malformed));
    assert_eq!(refused(b"POST / HTTP/1.1\r\n"), Err(MessageError::Malformed));
    let long = format!("GET /{}", "x".repeat(20_000));
    assert_eq!(refused(long.as_bytes()), Err(MessageError::TooLarge));
    assert_eq!(
        open().receive(&[0x81, 0xff, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 0, 0]),
        Err(MessageError::TooLarge)
    );
    assert_eq!(
        open().receive(&[0x81, 0xff, 255, 255, 255, 255, 255, 255, 255, 255, 0, 0, 0, 0]),
        Err(MessageError::TooLarge)
    );
    assert_eq!(open().receive(&frame(0x89, true, 126)), Err(MessageError::Malformed));
    let mut meter = Meter::new(MAX);
    assert!(meter.receive(OPENING).is_ok());
    assert_eq!(meter.send(b"HTTP/1.1 403 Forbidden\r\n\r\n"), Err(MessageError::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// However messages arrive and answers leave, all that is charged is taken back.
    #[test]
    fn charges_are_taken_back(lens in prop::collection::vec(0_usize..1_000, 0..20), step in 1_usize..300) {
        let mut meter = open();
        let input: Vec<u8> = lens.iter().flat_map(|&len| frame(0x81, true, len)).collect();
        let mut charged = 0;
        for piece in input.chunks(step) {
            charged += meter.receive(piece).unwrap().0;
        }
        let expected: usize = lens.iter().map(|len| len + OVERHEAD as usize).sum();
        prop_assert_eq!(charged, expected as u64);
        let output: Vec<u8> = lens.iter().flat_map(|&len| frame(0x81, false, len)).collect();
        let mut released = 0;
        for piece in output.chunks(step) {
            released += meter.send(piece).unwrap().0;
        }
        prop_assert_eq!(released, charged);
        prop_assert_eq!(meter.phase(), Phase::Idle);
    }

    /// No input makes the meter panic.
    #[test]
    fn any_input_is_followed(text in prop::collection::vec(any::<u8>(), 0..200), step in 1_usize..50) {
        let mut meter = open();
        for piece in text.chunks(step) {
            if meter.receive(piece).is_err() {
                break;
            }
        }
        let _any = meter.send(&text);
    }
}
