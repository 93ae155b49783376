//! Bodies that begin with what belongs to their framing.
//!
//! If the field that frames a body is lost, or an empty line ends the head before it, the body seems
//! to end with its connection, and to begin with the size of a chunk or with the rest of the head.

use http::{HeaderMap, HeaderName, header};
use httparse::{EMPTY_HEADER, Status, parse_chunk_size, parse_headers};

use super::Malformed;

/// The longest line that tells the size of a chunk, with its extensions.
const MAX_SIZE_LINE: usize = 256;
/// The longest part of a head that is looked for.
const MAX_HEAD: usize = 4 << 10;
const MAX_FIELDS: usize = 64;
const LINE_END: &[u8] = b"\r\n";
/// Fields that concern the connection or the body.
const HEAD_FIELDS: [HeaderName; 5] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    HeaderName::from_static("keep-alive"),
    header::TRANSFER_ENCODING,
];

/// Follows a body that ends with its connection.
#[derive(Debug)]
pub struct Scan {
    head: Head,
    chunks: Chunks,
    is_event_stream: bool,
}

/// The rest of a head.
#[derive(Debug)]
enum Head {
    Unknown {
        bytes: Vec<u8>,
        /// The fields that the head of the response does not have.
        missing: Vec<HeaderName>,
    },
    Absent,
}

/// The body as chunks.
#[derive(Debug)]
enum Chunks {
    /// A line with a size.
    Size(Vec<u8>),
    /// Content, and the line end behind it, of which this much is left.
    Content { left: u64, is_last: bool },
    /// The last chunk has been read.
    Whole,
    /// It has none.
    Absent,
}

impl Scan {
    /// Begins the body of a response with these headers. The first line of an event stream is no
    /// number.
    pub fn new(headers: &HeaderMap, is_event_stream: bool) -> Self {
        let is_missing = |name: &HeaderName| !headers.contains_key(name);
        let missing = HEAD_FIELDS.into_iter().filter(is_missing).collect();
        let head = Head::Unknown { bytes: Vec::new(), missing };
        Self { head, chunks: Chunks::Size(Vec::new()), is_event_stream }
    }

    /// Adds the next part of the body.
    ///
    /// # Errors
    /// It begins with a part of its framing.
    pub fn push(&mut self, data: &[u8]) -> Result<(), Malformed> {
        self.head.push(data)?;
        let has_size = self.chunks.push(data);
        if self.is_event_stream && has_size { Err(Malformed::LostFraming) } else { Ok(()) }
    }

    /// Ends the body.
    ///
    /// # Errors
    /// It consists of chunks, up to the last one.
    pub fn finish(&self) -> Result<(), Malformed> {
        match self.chunks {
            Chunks::Whole => Err(Malformed::LostFraming),
            Chunks::Size(_) | Chunks::Content { .. } | Chunks::Absent => Ok(()),
        }
    }
}

impl Head {
    fn push(&mut self, data: &[u8]) -> Result<(), Malformed> {
        let Head::Unknown { bytes, missing } = self else { return Ok(()) };
        bytes.extend_from_slice(&data[..data.len().min(MAX_HEAD - bytes.len())]);
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let is_complete = match parse_headers(bytes, &mut fields) {
            Ok(Status::Complete((_, fields))) => {
                let is_rest_of_head = |field: &str| missing.iter().any(|name| is_rest(field, name));
                if fields.iter().any(|field| is_rest_of_head(field.name)) {
                    return Err(Malformed::LostFraming);
                }
                true
            }
            Ok(Status::Partial) => bytes.len() == MAX_HEAD,
            Err(_) => true,
        };
        if is_complete {
            *self = Head::Absent;
        }
        Ok(())
    }
}

/// Whether a field has this name, or its first byte has been spoilt to an empty line.
fn is_rest(field: &str, name: &HeaderName) -> bool {
    let name = name.as_str();
    field.eq_ignore_ascii_case(name) || field.eq_ignore_ascii_case(&name[1..])
}

impl Chunks {
    /// Returns whether the data has completed the size of a chunk.
    fn push(&mut self, mut data: &[u8]) -> bool {
        let mut has_size = false;
        while !data.is_empty() {
            data = self.step(data);
            has_size |= matches!(self, Chunks::Content { .. });
        }
        has_size
    }

    /// Reads a part of the data, and returns the rest.
    fn step<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        match self {
            Chunks::Size(line) => {
                line.push(data[0]);
                let next = match parse_chunk_size(line) {
                    Ok(Status::Complete((_, size))) => {
                        let left = size.saturating_add(LINE_END.len() as u64);
                        Chunks::Content { left, is_last: size == 0 }
                    }
                    Ok(Status::Partial) if line.len() < MAX_SIZE_LINE => return &data[1..],
                    Ok(Status::Partial) | Err(_) => Chunks::Absent,
                };
                *self = next;
                &data[1..]
            }
            Chunks::Content { left, is_last } => {
                let line_end = LINE_END.len() as u64;
                if *left > line_end {
                    let skipped = usize::try_from(*left - line_end).unwrap_or(usize::MAX);
                    let skipped = skipped.min(data.len());
                    *left -= skipped as u64;
                    return &data[skipped..];
                }
                if data[0] != LINE_END[LINE_END.len() - *left as usize] {
                    *self = Chunks::Absent;
                    return &[];
                }
                *left -= 1;
                if *left == 0 {
                    *self = if *is_last { Chunks::Whole } else { Chunks::Size(Vec::new()) };
                }
                &data[1..]
            }
            Chunks::Whole => {
                *self = Chunks::Absent;
                &[]
            }
            Chunks::Absent => &[],
        }
    }
}
