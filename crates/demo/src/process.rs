//! Runs and signals a process that this program has started; it never signals any other process.

use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// How long a process may take to print the line that is waited for, such as where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// How long to wait for each further line of a process that has ended.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A running process; it is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
    /// The lines that have been read from its standard output so far.
    pub printed: Vec<String>,
}

/// Returns the folder of this program, which also holds the other programs.
fn bin_folder() -> io::Result<PathBuf> {
    let mut exe = std::env::current_exe()?;
    exe.pop();
    if exe.ends_with("deps") {
        exe.pop();
    }
    Ok(exe)
}

impl Process {
    /// Starts `program` from the folder of this program.
    ///
    /// If `GAPLOCK_DEMO_LOGS` names a folder, the process logs to a file in it.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started or its log cannot be opened.
    pub fn spawn(program: &str, args: &[String], env: &[(&str, &str)]) -> io::Result<Self> {
        let stderr = match std::env::var_os("GAPLOCK_DEMO_LOGS") {
            Some(folder) => {
                std::fs::create_dir_all(&folder)?;
                let name = format!("{program}-{}.log", args.join("_").replace(['/', ':'], "_"));
                let name: String = name.chars().take(120).collect();
                Stdio::from(std::fs::File::create(PathBuf::from(folder).join(name))?)
            }
            None => Stdio::null(),
        };
        let mut child = Command::new(bin_folder()?.join(program))
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the process has no standard output"))?;
        let (tx, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        Ok(Self { child, lines, printed: Vec::new() })
    }

    /// Waits until the process has printed a line with `word` as the first word for the `n`th
    /// time (from 0), and returns the line's second word.
    ///
    /// # Errors
    /// Returns an error if the process ends first or takes too long.
    pub fn wait_for(&mut self, word: &str, n: usize) -> io::Result<String> {
        let began = Instant::now();
        loop {
            let found = self.printed.iter().filter_map(|l| l.strip_prefix(word)).nth(n);
            if let Some(rest) = found {
                return Ok(rest.trim().to_string());
            }
            let remaining = START_TIMEOUT.saturating_sub(began.elapsed());
            match self.lines.recv_timeout(remaining) {
                Ok(line) => self.printed.push(line),
                Err(e) => return Err(io::Error::other(format!("waiting for `{word}`: {e}"))),
            }
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // This fails if the process has already ended; then there is nothing to signal.
            let _ended = kill_process(pid, signal);
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _status = self.child.wait();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits at most `timeout` for the end of the process and returns its exit code: -1 if a signal
    /// ended it, `None` if it is still running.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let began = Instant::now();
        while began.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Reads all remaining lines that an ended process has printed.
    pub fn drain(&mut self) {
        while let Ok(line) = self.lines.recv_timeout(DRAIN_TIMEOUT) {
            self.printed.push(line);
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
