//! The configuration as hosts send it to one another: what has changed since the version that the
//! receiver has, compressed, in parts that a slow link carries well within the time limit of a call.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::{Compression, Crc};
use gaplock_jobs::config::{self, Change, Config};

/// The number of compressed bytes in one part: 18 ms on a link of 10 Mbit/s.
pub const PART_BYTES: usize = 16 << 10;

/// How many former versions a host keeps to send only what has changed since.
const MAX_FORMER: usize = 2;

/// The size of the largest message that is accepted, before and after decompression. The store's
/// longest value is 1 MB.
const MAX_MESSAGE_BYTES: u32 = 8 << 20;

/// Identifies a message. Hosts that run the same program build the same message from the same
/// versions, so that a transfer can go on at another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MessageId {
    /// The version that it brings.
    pub version: u64,
    /// The version that it changes; `None` if it is whole.
    pub base: Option<u64>,
    /// Its size in bytes.
    pub size: u32,
    /// A checksum of its bytes.
    pub checksum: u32,
}

/// A request for the next part of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartRequest {
    /// The version that the receiver has; 0 for none.
    pub held: u64,
    /// The message of which it has parts.
    pub message: Option<MessageId>,
    /// How many bytes of that message it has.
    pub offset: u32,
}

/// The answer to a request for a part.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PartAnswer {
    /// The host has no newer version.
    NothingNewer,
    /// The next part, or the first part of another message.
    Part {
        /// The message.
        message: MessageId,
        /// Where the part begins.
        offset: u32,
        /// The bytes, in base 64.
        data: String,
    },
}

/// Why a message could not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum MessageError {
    /// A part does not continue the message, or the whole has another checksum.
    #[display("a part of the message does not fit the others")]
    Inconsistent,
    /// The message is not a change of the version that the host has.
    #[display("the message is not a change of the version that the host has")]
    Unusable,
}

impl std::error::Error for MessageError {}

/// A complete message.
#[derive(Debug)]
struct Message {
    id: MessageId,
    bytes: Vec<u8>,
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut crc = Crc::new();
    crc.update(bytes);
    crc.sum()
}

/// Encodes what turns `base` into `target`.
fn encode(base: Option<&Config>, target: &Config) -> io::Result<Message> {
    let change = config::change(base, target);
    // Compressed as a whole: the serializer writes a few bytes at a time.
    let text = serde_json::to_vec(&change)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&text)?;
    let bytes = encoder.finish()?;
    let (size, checksum) = (bytes.len() as u32, checksum(&bytes));
    let id = MessageId { version: change.version, base: change.base, size, checksum };
    Ok(Message { id, bytes })
}

fn decode(bytes: &[u8], held: Option<&Config>) -> Result<Config, MessageError> {
    let mut text = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(u64::from(MAX_MESSAGE_BYTES));
    decoder.read_to_end(&mut text).map_err(|_| MessageError::Unusable)?;
    let change: Change = serde_json::from_slice(&text).map_err(|_| MessageError::Unusable)?;
    config::apply(held, change).ok_or(MessageError::Unusable)
}

/// The versions of which a host can build messages for others. Building them takes processor time in
/// proportion to the number of queues, so it is kept apart from answering.
#[derive(Debug, Clone, Default)]
pub struct Versions {
    former: VecDeque<Arc<Config>>,
    newest: Option<Arc<Config>>,
}

impl Versions {
    /// Sets the version to send, unless a newer one is set already.
    pub fn set(&mut self, config: Arc<Config>) {
        if self.newest.as_ref().is_some_and(|newest| newest.version >= config.version) {
            return;
        }
        self.former.extend(self.newest.replace(config));
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }

    /// Builds the messages that bring the newest version, for hosts with each former version and for
    /// those with none.
    pub fn messages(&self) -> Messages {
        let Some(newest) = &self.newest else { return Messages::default() };
        let bases = self.former.iter().map(|base| Some(base.as_ref())).chain([None]);
        let built = bases.filter_map(|base| {
            // Writing to memory does not fail, and a configuration always serializes to JSON.
            let message = encode(base, newest).ok()?;
            Some((base.map(|base| base.version), message))
        });
        Messages { version: newest.version, by_base: built.collect() }
    }
}

/// The messages that bring one version, by the version that they change.
#[derive(Debug, Default)]
pub struct Messages {
    version: u64,
    by_base: BTreeMap<Option<u64>, Message>,
}

impl Messages {
    /// Returns the version that they bring; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Answers a request for a part.
    pub fn part(&self, request: PartRequest) -> PartAnswer {
        let whole = self.by_base.get(&None);
        let message = self.by_base.get(&Some(request.held)).or(whole);
        let Some(message) = message.filter(|m| m.id.version > request.held) else {
            return PartAnswer::NothingNewer;
        };
        let continues = request.message == Some(message.id) && request.offset < message.id.size;
        let offset = if continues { request.offset } else { 0 };
        let from = offset as usize;
        let part = &message.bytes[from..message.bytes.len().min(from + PART_BYTES)];
        PartAnswer::Part { message: message.id, offset, data: STANDARD.encode(part) }
    }
}

/// A message of which a host has received some parts.
#[derive(Debug, Default)]
pub struct Incoming {
    message: Option<MessageId>,
    bytes: Vec<u8>,
}

/// What a part has led to.
#[derive(Debug)]
pub enum Received {
    /// More parts are missing.
    More,
    /// The message is complete.
    Complete(Box<Config>),
    /// The other host has no newer version.
    NothingNewer,
}

impl Incoming {
    /// Returns the request for the next part.
    pub fn request(&self, held: u64) -> PartRequest {
        PartRequest { held, message: self.message, offset: self.bytes.len() as u32 }
    }

    /// Returns how many bytes have been received.
    pub fn received(&self) -> usize {
        self.bytes.len()
    }

    /// Adds the answer to a request, for a host that has `held` in force.
    ///
    /// # Errors
    /// [`MessageError`]; the transfer then begins again.
    pub fn add(
        &mut self,
        answer: PartAnswer,
        held: Option<&Config>,
    ) -> Result<Received, MessageError> {
        let PartAnswer::Part { message, offset, data } = answer else {
            *self = Self::default();
            return Ok(Received::NothingNewer);
        };
        if self.message != Some(message) {
            *self = Self { message: Some(message), bytes: Vec::new() };
        }
        let added = self.append(message, offset, &data, held);
        if !matches!(added, Ok(Received::More)) {
            *self = Self::default();
        }
        added
    }

    fn append(
        &mut self,
        message: MessageId,
        offset: u32,
        data: &str,
        held: Option<&Config>,
    ) -> Result<Received, MessageError> {
        let part = STANDARD.decode(data).map_err(|_| MessageError::Inconsistent)?;
        let size = message.size as usize;
        let fits = offset as usize == self.bytes.len()
            && !part.is_empty()
            && self.bytes.len() + part.len() <= size
            && message.size <= MAX_MESSAGE_BYTES;
        if !fits {
            return Err(MessageError::Inconsistent);
        }
        self.bytes.extend(part);
        if self.bytes.len() < size {
            return Ok(Received::More);
        }
        if checksum(&self.bytes) != message.checksum {
            return Err(MessageError::Inconsistent);
        }
        let config = decode(&self.bytes, held)?;
        Ok(Received::Complete(Box::new(config)))
    }
}
