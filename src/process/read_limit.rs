//! HTTP connections that hold a bounded number of bytes.
//!
//! The decoder of a chunked body waits for the end of a chunk's extension, however long it is. A peer
//! that never ends it would fill the memory.

use std::convert::Infallible;
use std::io;

use ntex::client::{Client, Connector};
use ntex::http::Uri;
use ntex::io::{Filter, FilterBuf, FilterLayer, Io, IoBoxed, Layer};
use ntex::{ServiceFactory, SharedCfg, connect, fn_service};

/// Most bytes that wait to be decoded. Heads are limited to 64 KiB, and bodies are decoded as they
/// are read.
const MAX_UNDECODED_BYTES: usize = 256 * 1024;

/// Fails a connection whose received bytes cannot be decoded.
#[derive(Debug)]
pub struct UndecodedLimit;

impl FilterLayer for UndecodedLimit {
    fn process_read_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        let undecoded = buf.with_read_buffers(|received, undecoded| {
            if let Some(bytes) = received.take() {
                undecoded.extend_from_slice(&bytes);
            }
            undecoded.len()
        });
        match undecoded > MAX_UNDECODED_BYTES {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes that cannot be decoded",
            )),
            false => Ok(()),
        }
    }

    fn process_write_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        buf.with_write_buffers(|plain, sent| plain.move_to(sent));
        Ok(())
    }
}

/// Service that limits accepted connections.
pub fn acceptor<F: Filter>() -> impl ServiceFactory<
    Io<F>,
    SharedCfg,
    Response = Io<Layer<UndecodedLimit, F>>,
    Error = Infallible,
    InitError = (),
> {
    fn_service(async |io: Io<F>| Ok(io.add_filter(UndecodedLimit)))
}

/// Connector of clients whose connections are limited.
pub fn connector() -> Connector {
    let limited =
        connect::Connector::<Uri>::new().map(|io: Io| IoBoxed::from(io.add_filter(UndecodedLimit)));
    Connector::new().connector(limited)
}

/// Creates a client whose connections are limited, with the default time limits.
pub async fn client() -> Client {
    let builder = Client::builder().connector::<()>(connector());
    let client = builder.build(SharedCfg::default()).await;
    client.expect("a client without middleware builds")
}
