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
use crate::sockets::{self, PeerKind};

/// Future of a result from another node, which fails when the link ends.
pub(crate) type LinkFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LinkFault>> + Send + 'a>>;

/// Opens connections to the feeds of other nodes.
pub(crate) trait FeedLinks: fmt::Debug + Send + Sync {
    /// Opens a connection to a node and sends a first request. The caller sets the timeout.
    fn open(&self, node: IpAddr, request: ToGate) -> LinkFuture<'_, Box<dyn FeedStream>>;
}

/// A connection to a node that publishes changes or sends parts of a configuration.
pub(crate) trait FeedStream: Send {
    /// Sends a further request.
    fn send(&mut self, request: ToGate) -> LinkFuture<'_, ()>;

    /// Returns the next message. Cancel safe.
    fn next(&mut self) -> LinkFuture<'_, ToEntry>;
}

/// TCP connections to the port on which all nodes listen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TcpFeedLinks {
    pub(crate) port: u16,
}

impl FeedLinks for TcpFeedLinks {
    fn open(&self, node: IpAddr, request: ToGate) -> LinkFuture<'_, Box<dyn FeedStream>> {
        let address = SocketAddr::new(node, self.port);
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            sockets::prepare(&stream, PeerKind::Node);
            let (frames, writer) = stream.into_split();
            let mut feed_stream: Box<dyn FeedStream> = Box::new(TcpFeedStream {
                reader: FrameReader::new(frames),
                writer,
            });
            feed_stream.send(request).await?;
            Ok(feed_stream)
        })
    }
}

struct TcpFeedStream {
    reader: FrameReader,
    writer: OwnedWriteHalf,
}

impl FeedStream for TcpFeedStream {
    fn send(&mut self, request: ToGate) -> LinkFuture<'_, ()> {
        Box::pin(async move {
            let mut buffer = BytesMut::new();
            link::encode(&request, &mut buffer)?;
            Ok(self.writer.write_all(&buffer).await?)
        })
    }

    fn next(&mut self) -> LinkFuture<'_, ToEntry> {
        Box::pin(self.reader.next())
    }
}
