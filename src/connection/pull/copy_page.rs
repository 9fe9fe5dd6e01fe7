use {
    super::ChangesBody,
    prost::{DecodeError, Message},
    std::{io, time::Duration},
    thiserror::Error,
    zstd::bulk::{compress, decompress},
};

/// The fastest level: a configuration of 0.89 MB shrinks to 0.05 MB in 1 ms; level 3 brings no more.
const LEVEL: i32 = 1;

/// A smaller body goes as it is: it fits into a few packets anyway.
const PACKED_FROM: usize = 4 * 1024;

/// Largest body that is unpacked, in bytes; four times what operators may declare.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Why a page can't be understood.
#[derive(Debug, Error)]
pub enum PageProblem {
    #[error("no page: {0}")]
    NoPage(#[from] DecodeError),
    #[error("it says that it holds {0} bytes")]
    TooLarge(usize),
    #[error("it can't be unpacked: {0}")]
    NotPacked(#[from] io::Error),
}

/// Changes of a table as one host hands them to another.
#[derive(Clone, PartialEq, Message)]
pub struct CopyPage {
    /// A `ChangesBody`.
    #[prost(bytes = "vec", tag = "1")]
    body: Vec<u8>,
    /// Bytes of the body once it is unpacked; 0 if it was not packed.
    #[prost(uint32, tag = "2")]
    unpacked: u32,
    /// Time since the copy was known to be right, in milliseconds.
    #[prost(uint32, tag = "3")]
    age_ms: u32,
}

impl CopyPage {
    /// A page that packs its body if that is large.
    pub fn new(body: &ChangesBody) -> Self {
        let plain = body.encode_to_vec();
        let packed = match plain.len() >= PACKED_FROM {
            true => compress(&plain, LEVEL).ok(),
            false => None,
        };
        let unpacked = packed.as_ref().map_or(0, |_| plain.len());
        Self {
            body: packed.unwrap_or(plain),
            unpacked: u32::try_from(unpacked).unwrap_or(u32::MAX),
            age_ms: 0,
        }
    }

    /// The page's bytes, for a copy that was right so long ago.
    pub fn to_bytes(
        &self,
        age: Duration,
    ) -> Vec<u8> {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let page = Self {
            age_ms,
            ..self.clone()
        };
        page.encode_to_vec()
    }

    /// Understands a page; gives also how old the copy was when it was handed over.
    pub fn read(bytes: &[u8]) -> Result<(ChangesBody, Duration), PageProblem> {
        let page = Self::decode(bytes)?;
        let age = Duration::from_millis(u64::from(page.age_ms));
        let unpacked = page.unpacked as usize;
        if unpacked > MAX_BODY {
            return Err(PageProblem::TooLarge(unpacked));
        }
        let body = match unpacked {
            0 => ChangesBody::decode(page.body.as_slice())?,
            _ => ChangesBody::decode(decompress(&page.body, unpacked)?.as_slice())?,
        };
        Ok((body, age))
    }
}
