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
pub(crate) type Coming<'a, T> = Pin<Box<dyn Future<Output = Result<T, LinkFault>> + Send + 'a>>;

/// Reaches the feeds of other nodes.
pub(crate) trait FeedLinks: fmt::Debug + Send + Sync {
    /// Subscribes to a reader's feed, given the revision up to which all is known here.
    /// Whoever waits for it sets the limit.
    fn open(&self, reader: IpAddr, known: u64) -> Coming<'_, Box<dyn FeedWords>>;
}

/// What a reader tells one subscriber.
pub(crate) trait FeedWords: Send {
    /// The next word. Safe to cancel.
    fn next(&mut self) -> Coming<'_, ToEntry>;
}

/// Links over TCP to the port at which all nodes listen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TcpFeedLinks {
    pub(crate) port: u16,
}

impl FeedLinks for TcpFeedLinks {
    fn open(&self, reader: IpAddr, known: u64) -> Coming<'_, Box<dyn FeedWords>> {
        let address = SocketAddr::new(reader, self.port);
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            sockets::prepare(&stream);
            let (frames, mut writer) = stream.into_split();
            let mut buffer = BytesMut::new();
            link::encode(&ToGate::Subscribe { revision: known }, &mut buffer)?;
            writer.write_all(&buffer).await?;
            let subscribed: Box<dyn FeedWords> = Box::new(Subscribed {
                reader: FrameReader::new(frames),
                _writer: writer,
            });
            Ok(subscribed)
        })
    }
}

/// A connection with a subscription; its writing half is kept open.
struct Subscribed {
    reader: FrameReader,
    _writer: OwnedWriteHalf,
}

impl FeedWords for Subscribed {
    fn next(&mut self) -> Coming<'_, ToEntry> {
        Box::pin(self.reader.next())
    }
}
