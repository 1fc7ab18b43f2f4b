//! The way to the feeds of other nodes.

use std::fmt;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;

use bytes::BytesMut;
use hornbeamhitch_wire::link::{self, ToEntry, ToGate};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::link::{FrameReader, LinkFault};
use crate::sockets;

/// Something that comes from another node, or the end of the way to it.
pub(crate) type LinkFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LinkFault>> + Send + 'a>>;

/// Reaches the feeds of other nodes.
pub(crate) trait FeedLinks: fmt::Debug + Send + Sync {
    /// Subscribes to a reader's feed, given the revision up to which all is known here.
    /// Whoever waits for it sets the limit.
    fn open(&self, reader: IpAddr, known: u64) -> LinkFuture<'_, Box<dyn FeedStream>>;
}

/// What a reader tells one subscriber.
pub(crate) trait FeedStream: Send {
    /// The next word. Safe to cancel.
    fn next(&mut self) -> LinkFuture<'_, ToEntry>;
}

/// Links over TCP to the port at which all nodes listen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TcpFeedLinks {
    pub(crate) port: u16,
}

impl FeedLinks for TcpFeedLinks {
    fn open(&self, reader: IpAddr, known: u64) -> LinkFuture<'_, Box<dyn FeedStream>> {
        let address = SocketAddr::new(reader, self.port);
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            sockets::prepare(&stream);
            let (frames, mut writer) = stream.into_split();
            let mut buffer = BytesMut::new();
            link::encode(&ToGate::Follow { revision: known }, &mut buffer)?;
            writer.write_all(&buffer).await?;
            let stream_of_feed: Box<dyn FeedStream> = Box::new(TcpFeedStream {
                reader: FrameReader::new(frames),
                _writer: writer,
            });
            Ok(stream_of_feed)
        })
    }
}

/// A connection with a subscription; its writing half is kept open.
struct TcpFeedStream {
    reader: FrameReader,
    _writer: OwnedWriteHalf,
}

impl FeedStream for TcpFeedStream {
    fn next(&mut self) -> LinkFuture<'_, ToEntry> {
        Box::pin(self.reader.next())
    }
}
