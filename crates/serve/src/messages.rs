//! Follows the messages on a WebSocket connection, without I/O, to know what they take before a
//! library that reads them whole has read them.
//!
//! Such a library makes room for a frame as soon as its length is announced. The meter therefore
//! charges a message by the announced lengths of its frames, and takes the charge back when the
//! message is answered (RFC 6455, section 5.2, has the layout of a frame).

use std::collections::VecDeque;

use crate::budget::{Bytes, Phase};

/// The largest head of the request that opens a connection, or of its answer.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// How every request begins that may open a connection.
const OPENING: &[u8] = b"GET ";

/// How the answer begins to a request that has opened a connection.
const ACCEPTED: &[u8] = b"HTTP/1.1 101 ";

/// What each message takes besides its own bytes.
const MESSAGE_BYTES: u64 = 1 << 10;

/// The largest payload of a control frame.
const MAX_CONTROL_BYTES: u64 = 125;

/// Why a connection has to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum MessageError {
    /// The opening request or a message is larger than the limit.
    #[display("the head or a message is larger than the limit")]
    TooLarge,
    /// The connection is not opened as a WebSocket, or a frame is malformed.
    #[display("the connection does not carry messages")]
    Malformed,
}

impl std::error::Error for MessageError {}

#[derive(Debug, Clone, Copy)]
struct Frame {
    is_control: bool,
    /// Whether it is the last one of its message.
    is_last: bool,
    len: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Announced(Frame),
    Ended(Frame),
}

/// Follows the frames of one direction.
#[derive(Debug, Default)]
struct Frames {
    header: Vec<u8>,
    /// The frame that is arriving, with how much of its payload is still to come.
    open: Option<(Frame, u64)>,
}

impl Frames {
    fn feed<E>(
        &mut self,
        mut input: &[u8],
        mut on: impl FnMut(Event) -> Result<(), E>,
    ) -> Result<(), E> {
        while let Some((&byte, rest)) = input.split_first() {
            if let Some((_, left)) = &mut self.open {
                let len = usize::try_from(*left).map_or(input.len(), |left| left.min(input.len()));
                *left -= len as u64;
                input = &input[len..];
            } else {
                self.header.push(byte);
                input = rest;
                if let Some(frame) = decode_header(&self.header) {
                    self.header.clear();
                    self.open = Some((frame, frame.len));
                    on(Event::Announced(frame))?;
                }
            }
            if let Some((frame, 0)) = self.open {
                self.open = None;
                on(Event::Ended(frame))?;
            }
        }
        Ok(())
    }
}

/// Decodes the header of a frame once it is complete.
fn decode_header(header: &[u8]) -> Option<Frame> {
    let (&first, &second) = (header.first()?, header.get(1)?);
    let number = |bytes: &[u8]| bytes.iter().fold(0, |n, &b| n << 8 | u64::from(b));
    let (len, extended) = match second & 0x7f {
        126 => (number(header.get(2..4)?), 2),
        127 => (number(header.get(2..10)?), 8),
        len => (u64::from(len), 0),
    };
    let mask = if second & 0x80 == 0 { 0 } else { 4 };
    let frame = Frame { is_control: first & 0x08 != 0, is_last: first & 0x80 != 0, len };
    (header.len() == 2 + extended + mask).then_some(frame)
}

/// The head at the start of one direction.
#[derive(Debug, Default)]
enum Head {
    Open(Vec<u8>),
    #[default]
    Ended,
}

impl Head {
    /// Takes in what belongs to the head, which must start with `start`. Returns what comes behind
    /// it.
    fn feed<'a>(&mut self, input: &'a [u8], start: &[u8]) -> Result<&'a [u8], MessageError> {
        let Self::Open(text) = self else { return Ok(input) };
        let searched = text.len().saturating_sub(3);
        let known = text.len();
        text.extend_from_slice(&input[..input.len().min(MAX_HEAD_BYTES - known)]);
        let compared = text.len().min(start.len());
        if text[..compared] != start[..compared] {
            return Err(MessageError::Malformed);
        }
        let end = text[searched..].windows(4).position(|part| part == b"\r\n\r\n");
        let Some(end) = end.map(|at| searched + at + 4) else {
            return if text.len() == MAX_HEAD_BYTES {
                Err(MessageError::TooLarge)
            } else {
                Ok(&[])
            };
        };
        *self = Self::Ended;
        Ok(&input[end - known..])
    }
}

/// Accounts for the messages of one connection.
#[derive(Debug)]
pub struct Meter {
    max_message: u64,
    request: Head,
    response: Head,
    received: Frames,
    sent: Frames,
    /// What the message that is arriving is charged so far, if one is.
    current: Option<u64>,
    /// What the messages that are not answered yet are charged, oldest first.
    unanswered: VecDeque<u64>,
}

impl Meter {
    /// Builds the meter of a connection with messages of at most `max_message`.
    pub fn new(max_message: Bytes) -> Self {
        Self {
            max_message: max_message.0,
            request: Head::Open(Vec::new()),
            response: Head::Open(Vec::new()),
            received: Frames::default(),
            sent: Frames::default(),
            current: None,
            unanswered: VecDeque::new(),
        }
    }

    /// Follows what has arrived. Returns what is to be charged for it.
    ///
    /// # Errors
    /// [`MessageError`] if the connection has to be closed.
    pub fn receive(&mut self, input: &[u8]) -> Result<Bytes, MessageError> {
        let input = self.request.feed(input, OPENING)?;
        let (current, unanswered) = (&mut self.current, &mut self.unanswered);
        let (mut charge, max) = (0, self.max_message);
        self.received.feed(input, |event| {
            match event {
                Event::Announced(frame) if frame.is_control => {
                    if frame.len > MAX_CONTROL_BYTES {
                        return Err(MessageError::Malformed);
                    }
                }
                Event::Announced(frame) => {
                    let more =
                        frame.len.saturating_add(if current.is_none() { MESSAGE_BYTES } else { 0 });
                    let total = current.unwrap_or_default().saturating_add(more);
                    if total > max.saturating_add(MESSAGE_BYTES) {
                        return Err(MessageError::TooLarge);
                    }
                    *current = Some(total);
                    charge += more;
                }
                Event::Ended(frame) if frame.is_last && !frame.is_control => {
                    unanswered.extend(current.take());
                }
                Event::Ended(_) => {}
            }
            Ok(())
        })?;
        Ok(Bytes(charge))
    }

    /// Follows what was sent. Returns what is to be taken back for messages that were answered.
    ///
    /// # Errors
    /// [`MessageError`] if the opening request was refused, so that the connection has to be closed.
    pub fn send(&mut self, output: &[u8]) -> Result<Bytes, MessageError> {
        let output = self.response.feed(output, ACCEPTED)?;
        let (unanswered, mut released) = (&mut self.unanswered, 0);
        self.sent.feed(output, |event| {
            if matches!(event, Event::Ended(frame) if frame.is_last && !frame.is_control) {
                released += unanswered.pop_front().unwrap_or_default();
            }
            Ok(())
        })?;
        Ok(Bytes(released))
    }

    /// Returns what the connection is doing.
    pub fn phase(&self) -> Phase {
        if matches!(self.request, Head::Open(_)) || self.current.is_some() {
            Phase::Reading
        } else if self.unanswered.is_empty() {
            Phase::Idle
        } else {
            Phase::Busy
        }
    }
}
