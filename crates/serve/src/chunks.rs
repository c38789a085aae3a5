//! Decodes bodies that come in chunks, without I/O and with bounds on everything but the data.

/// The most bytes of all chunk extensions and trailers of one body.
const MAX_EXTRA_BYTES: usize = 8 << 10;

/// The most digits of a chunk's size.
const MAX_SIZE_DIGITS: u32 = 16;

/// How far a body has been decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// More input is needed.
    Partial,
    /// The body is complete.
    Complete,
}

/// Why a body is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum ChunkError {
    /// The body is larger than the limit.
    #[display("the body is larger than the limit")]
    TooLarge,
    /// The input is not a body in chunks, or its extensions or trailers are too long.
    #[display("the chunks are malformed")]
    Malformed,
}

impl std::error::Error for ChunkError {}

#[derive(Debug, Clone, Copy)]
enum State {
    Size {
        size: u64,
        digits: u32,
    },
    Extension {
        size: u64,
    },
    /// The carriage return at the end of a size line has been read.
    SizeEnd {
        size: u64,
    },
    Data {
        left: u64,
    },
    /// The line end behind a chunk's data; whether its carriage return has been read.
    DataEnd {
        returned: bool,
    },
    /// A line of the trailers; whether it is empty so far.
    Trailer {
        is_empty: bool,
    },
    /// The carriage return at the end of a line of the trailers has been read.
    TrailerEnd {
        is_empty: bool,
    },
    Complete,
}

/// Decodes one body.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    max: usize,
    extra: usize,
}

impl Decoder {
    /// Builds a decoder of a body of at most `max` bytes.
    pub fn new(max: usize) -> Self {
        Self { state: State::Size { size: 0, digits: 0 }, max, extra: 0 }
    }

    /// Decodes as much of `input` as belongs to the body and appends its data to `body`. Returns
    /// how many bytes were used.
    ///
    /// # Errors
    /// [`ChunkError`] as soon as a chunk is announced that exceeds the limit, or at the first byte
    /// that cannot belong to a body.
    pub fn decode(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
    ) -> Result<(usize, Progress), ChunkError> {
        let mut used = 0;
        while used < input.len() {
            match self.state {
                State::Complete => return Ok((used, Progress::Complete)),
                State::Data { left } => {
                    let available = input.len() - used;
                    let len = usize::try_from(left).map_or(available, |left| left.min(available));
                    body.extend_from_slice(&input[used..used + len]);
                    used += len;
                    let left = left - len as u64;
                    self.state = match left {
                        0 => State::DataEnd { returned: false },
                        _ => State::Data { left },
                    };
                }
                state => {
                    self.state = self.step(state, input[used], body.len())?;
                    used += 1;
                }
            }
        }
        let is_complete = matches!(self.state, State::Complete);
        Ok((used, if is_complete { Progress::Complete } else { Progress::Partial }))
    }

    /// Returns the state after a byte outside the data.
    fn step(&mut self, state: State, byte: u8, received: usize) -> Result<State, ChunkError> {
        let next = match (state, byte) {
            (State::Size { size, digits }, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F')
                if digits < MAX_SIZE_DIGITS =>
            {
                let digit = (byte as char).to_digit(16).map_or(0, u64::from);
                State::Size { size: size << 4 | digit, digits: digits + 1 }
            }
            (State::Size { size, digits: 1.. }, b';') => State::Extension { size },
            (State::Size { size, digits: 1.. } | State::Extension { size }, b'\r') => {
                State::SizeEnd { size }
            }
            (State::Extension { size }, _) if byte != b'\n' => {
                self.count_extra()?;
                State::Extension { size }
            }
            (State::SizeEnd { size: 0 }, b'\n') => State::Trailer { is_empty: true },
            (State::SizeEnd { size }, b'\n') => {
                if size > (self.max - received.min(self.max)) as u64 {
                    return Err(ChunkError::TooLarge);
                }
                State::Data { left: size }
            }
            (State::DataEnd { returned: false }, b'\r') => State::DataEnd { returned: true },
            (State::DataEnd { returned: true }, b'\n') => State::Size { size: 0, digits: 0 },
            (State::Trailer { is_empty }, b'\r') => State::TrailerEnd { is_empty },
            (State::Trailer { .. }, _) if byte != b'\n' => {
                self.count_extra()?;
                State::Trailer { is_empty: false }
            }
            (State::TrailerEnd { is_empty: true }, b'\n') => State::Complete,
            (State::TrailerEnd { is_empty: false }, b'\n') => State::Trailer { is_empty: true },
            _ => return Err(ChunkError::Malformed),
        };
        Ok(next)
    }

    fn count_extra(&mut self) -> Result<(), ChunkError> {
        self.extra += 1;
        if self.extra > MAX_EXTRA_BYTES {
            return Err(ChunkError::Malformed);
        }
        Ok(())
    }
}
