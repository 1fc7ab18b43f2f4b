//! Connections to the feeds of other nodes.

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
use crate::prelude::*;
use crate::sockets;

/// Future of a result from another node, which fails when the link ends.
pub(crate) type LinkFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LinkFault>> + Send + 'a>>;

/// Opens connections to the feeds of other nodes.
pub(crate) trait FeedLinks: fmt::Debug + Send + Sync {
    /// Subscribes to a reader's feed. All changes up to the revision `known` are known
    /// here. The caller sets the timeout.
    fn open(&self, reader: IpAddr, known: Revision) -> LinkFuture<'_, Box<dyn FeedStream>>;
}

/// The messages of a reader to one subscriber.
pub(crate) trait FeedStream: Send {
    /// Returns the next message. Cancel safe.
    fn next(&mut self) -> LinkFuture<'_, ToEntry>;
}

/// TCP connections to the port on which all nodes listen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TcpFeedLinks {
    pub(crate) port: u16,
}

impl FeedLinks for TcpFeedLinks {
    fn open(&self, reader: IpAddr, known: Revision) -> LinkFuture<'_, Box<dyn FeedStream>> {
        let address = SocketAddr::new(reader, self.port);
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            sockets::prepare(&stream);
            let (frames, mut writer) = stream.into_split();
            let mut buffer = BytesMut::new();
            link::encode(&ToGate::Subscribe { revision: known }, &mut buffer)?;
            writer.write_all(&buffer).await?;
            let feed_stream: Box<dyn FeedStream> = Box::new(TcpFeedStream {
                reader: FrameReader::new(frames),
                _writer: writer,
            });
            Ok(feed_stream)
        })
    }
}

/// A connection with a subscription. Its write half is kept open.
struct TcpFeedStream {
    reader: FrameReader,
    _writer: OwnedWriteHalf,
}

impl FeedStream for TcpFeedStream {
    fn next(&mut self) -> LinkFuture<'_, ToEntry> {
        Box::pin(self.reader.next())
    }
}
