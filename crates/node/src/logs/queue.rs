//! The queue between the logging threads and the writer thread.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use super::count_dropped;

/// Maximum number of queued lines.
const MAX_LINES: usize = 4_096;
/// Maximum number of queued bytes; reached first when lines are long.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// The sending end; clones share the queue.
///
/// Standard error is often a pipe. If its reader stalls, a write blocks
/// indefinitely; if its reader has ended, each write fails. A blocked write in
/// a traffic thread would freeze every call of the node for as long as the log
/// collector does not read. Here only the writer thread waits; the other
/// threads find the queue full, drop their line and count it.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    sender: SyncSender<Item>,
    queued_bytes: Arc<AtomicUsize>,
}

enum Item {
    Line(Vec<u8>),
    /// Reply once all lines before this item are written.
    Flush(SyncSender<()>),
}

impl Queue {
    pub(super) fn start(sink: Box<dyn Write + Send>) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_LINES);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let writer = Writer {
            sink,
            receiver,
            queued_bytes: Arc::clone(&queued_bytes),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        Ok(Self {
            sender,
            queued_bytes,
        })
    }

    /// Queues a line or drops it; never blocks.
    pub(super) fn push(&self, line: Vec<u8>) {
        let size_bytes = line.len();
        let before = self.queued_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        if before + size_bytes <= MAX_BYTES && self.sender.try_send(Item::Line(line)).is_ok() {
            return;
        }
        self.queued_bytes.fetch_sub(size_bytes, Ordering::Relaxed);
        count_dropped(1);
    }

    pub(super) fn flush(&self, timeout: Duration) -> bool {
        let (done, written) = sync_channel(1);
        match self.sender.try_send(Item::Flush(done)) {
            Ok(()) => written.recv_timeout(timeout).is_ok(),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

struct Writer {
    sink: Box<dyn Write + Send>,
    receiver: Receiver<Item>,
    queued_bytes: Arc<AtomicUsize>,
}

impl Writer {
    /// Runs until the last sender is dropped. A failed write only loses its own
    /// line, because the next may succeed, for example once a full file system
    /// has space again.
    fn run(mut self) {
        while let Ok(item) = self.receiver.recv() {
            match item {
                Item::Line(line) => self.write(&line),
                // The requester may have stopped waiting.
                Item::Flush(done) => drop(done.try_send(())),
            }
        }
    }

    fn write(&mut self, line: &[u8]) {
        self.queued_bytes.fetch_sub(line.len(), Ordering::Relaxed);
        if self.sink.write_all(line).is_err() {
            count_dropped(1);
        }
    }
}
