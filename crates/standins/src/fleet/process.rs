//! A child process, with its signals, log and exit status.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::thread::JoinHandle;

use rustix::process::{Pid, kill_process};
use tokio::time::{Instant, sleep};

use crate::prelude::*;

pub use rustix::process::Signal;

const MAX_LOG_LINES: usize = 20_000;
const TAIL_LINES: usize = 20;
const EXIT_POLL: Duration = Duration::from_millis(5);

type LogLines = Arc<Mutex<VecDeque<String>>>;

/// A child process that is killed when this value is dropped.
pub struct ChildProcess {
    name: String,
    child: Child,
    status: Option<ExitStatus>,
    lines: LogLines,
    reader: Option<JoinHandle<()>>,
}

impl ChildProcess {
    /// Starts a program and collects the lines of its standard error.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn spawn(name: &str, command: &mut Command) -> Result<Self> {
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("cannot start {name} ({command:?})"))?;
        let lines = LogLines::default();
        let reader = child.stderr.take().map(|stderr| {
            let lines = Arc::clone(&lines);
            std::thread::spawn(move || collect(stderr, &lines))
        });
        Ok(Self {
            name: name.to_owned(),
            child,
            status: None,
            lines,
            reader,
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status, if the process has exited.
    ///
    /// # Errors
    ///
    /// Fails when the status of the process cannot be queried.
    pub fn has_exited(&mut self) -> Result<Option<ExitStatus>> {
        if self.status.is_none() {
            self.status = self.child.try_wait()?;
            if self.status.is_some() {
                self.join_reader();
            }
        }
        Ok(self.status)
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited, because its id may belong to another
    /// process by now.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        if let Some(status) = self.has_exited()? {
            bail!("{} has exited with {status}", self.name);
        }
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).wrap_err_with(|| format!("cannot signal {}", self.name))
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed or waited for.
    pub fn kill(&mut self) -> Result<()> {
        if self.has_exited()?.is_some() {
            return Ok(());
        }
        self.child.kill()?;
        self.status = Some(self.child.wait()?);
        self.join_reader();
        Ok(())
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails when the process does not exit within `bound`.
    pub async fn wait_exit(&mut self, bound: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + bound;
        loop {
            if let Some(status) = self.has_exited()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                bail!("{} has not exited in time: {}", self.name, self.log_tail());
            }
            sleep(EXIT_POLL).await;
        }
    }

    /// Returns the newest 20,000 lines of standard error.
    #[must_use]
    pub fn logs(&self) -> Vec<String> {
        self.lines.lock().iter().cloned().collect()
    }

    /// Returns the last 20 lines of standard error, for error messages.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let lines = self.logs();
        let from = lines.len().saturating_sub(TAIL_LINES);
        lines[from..].join("\n")
    }

    fn join_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::warn!("cannot kill the process {}: {error:#}", self.name);
        }
    }
}

fn collect(stderr: ChildStderr, lines: &LogLines) {
    for line in BufReader::new(stderr).lines() {
        let Ok(line) = line else {
            return;
        };
        let mut lines = lines.lock();
        if lines.len() >= MAX_LOG_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }
}
