//! A TCP stream that can be closed with a reset.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that is closed with a reset if its flag is set when it is dropped.
///
/// A process that dies with unread input resets its connections. After a graceful
/// close the peer could take a partly sent answer for a complete one.
pub(super) struct ResettableStream {
    inner: TcpStream,
    reset_on_drop: Arc<AtomicBool>,
}

impl ResettableStream {
    pub(super) fn new(inner: TcpStream, reset_on_drop: Arc<AtomicBool>) -> Self {
        Self {
            inner,
            reset_on_drop,
        }
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.reset_on_drop.load(Ordering::Relaxed) {
            let _ = self.inner.set_zero_linger();
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset_on_drop.load(Ordering::Relaxed) {
            // A graceful shutdown would be sent before the reset.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
