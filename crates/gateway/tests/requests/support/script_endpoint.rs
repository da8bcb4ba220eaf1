//! An endpoint that does with each request as its script says.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// What the endpoint does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Answers 200 with the request's path.
    Answer,
    /// Works until [`ScriptEndpoint::release`], whatever becomes of the connection, and answers.
    Hold,
    /// Works for this long, whatever becomes of the connection, and answers.
    Work(Duration),
    /// Reads on and never answers: the connection went silent.
    Silent,
    /// Writes these bytes.
    Raw(&'static str),
    /// Writes these bytes and closes the connection.
    Close(&'static str),
}

#[derive(Default)]
pub(crate) struct Ledger {
    /// How often each `X-Request-Id` was run.
    pub(crate) runs: IndexMap<String, u32>,
    /// The heads seen.
    pub(crate) heads: Vec<String>,
    pub(crate) running: usize,
    pub(crate) most_running: usize,
    pub(crate) connections: usize,
    pub(crate) most_connections: usize,
    pub(crate) accepted: usize,
    silent_below: usize,
    always: Option<Act>,
    next: VecDeque<Act>,
}

/// An endpoint that does with each request as its script says.
pub(crate) struct ScriptEndpoint {
    pub(crate) address: SocketAddr,
    ledger: Arc<Mutex<Ledger>>,
    released: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl ScriptEndpoint {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ledger = Arc::<Mutex<Ledger>>::default();
        let released = watch::Sender::new(false);
        let shared = (Arc::clone(&ledger), released.subscribe());
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shared.0.clone(), shared.1.clone()));
            }
        });
        Self {
            address,
            ledger,
            released,
            accepting,
        }
    }

    /// Does this with the next request that has no act yet.
    pub(crate) fn once(&self, act: Act) -> &Self {
        self.ledger().next.push_back(act);
        self
    }

    /// Does this with every request that has no act of its own.
    pub(crate) fn always(&self, act: Act) -> &Self {
        self.ledger().always = Some(act);
        self
    }

    /// Lets held requests be answered, now and from now on.
    pub(crate) fn release(&self) {
        self.released.send_replace(true);
    }

    /// Loses track of every connection that is open now: what comes on it vanishes.
    pub(crate) fn go_silent(&self) {
        let mut ledger = self.ledger();
        ledger.silent_below = ledger.accepted;
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap()
    }

    /// Returns how many requests came.
    pub(crate) fn seen(&self) -> usize {
        self.ledger().heads.len()
    }
}

impl Drop for ScriptEndpoint {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn serve(mut stream: TcpStream, ledger: Arc<Mutex<Ledger>>, released: watch::Receiver<bool>) {
    let mut number = 0;
    count(&ledger, |ledger| {
        number = ledger.accepted;
        ledger.accepted += 1;
        ledger.connections += 1;
        ledger.most_connections = ledger.most_connections.max(ledger.connections);
    });
    let mut buffer = String::new();
    while let Some(head) = read_request(&mut stream, &mut buffer).await {
        if number < ledger.lock().unwrap().silent_below {
            while stream.read(&mut [0; 64]).await.is_ok_and(|read| read > 0) {}
            break;
        }
        let act = begin(&ledger, &head);
        let open = perform(act, &head, &mut stream, released.clone()).await;
        count(&ledger, |ledger| ledger.running -= 1);
        if !open {
            break;
        }
    }
    count(&ledger, |ledger| ledger.connections -= 1);
}

fn count<Change>(ledger: &Mutex<Ledger>, change: Change)
where
    Change: FnOnce(&mut Ledger),
{
    change(&mut ledger.lock().unwrap());
}

fn begin(ledger: &Mutex<Ledger>, head: &str) -> Act {
    let mut ledger = ledger.lock().unwrap();
    ledger.running += 1;
    ledger.most_running = ledger.most_running.max(ledger.running);
    ledger.heads.push(head.to_owned());
    if let Some(id) = field(head, "x-request-id") {
        *ledger.runs.entry(id).or_default() += 1;
    }
    let next = ledger.next.pop_front();
    next.or_else(|| ledger.always.clone())
        .unwrap_or(Act::Answer)
}

async fn perform(
    act: Act,
    head: &str,
    stream: &mut TcpStream,
    mut released: watch::Receiver<bool>,
) -> bool {
    match act {
        Act::Answer => answer(head, stream).await,
        Act::Hold => {
            released.wait_for(|released| *released).await.ok();
            answer(head, stream).await
        }
        Act::Work(time) => {
            sleep(time).await;
            answer(head, stream).await
        }
        Act::Silent => {
            while stream.read(&mut [0; 64]).await.is_ok_and(|read| read > 0) {}
            false
        }
        Act::Raw(bytes) => stream.write_all(bytes.as_bytes()).await.is_ok(),
        Act::Close(bytes) => {
            stream.write_all(bytes.as_bytes()).await.ok();
            false
        }
    }
}

async fn answer(head: &str, stream: &mut TcpStream) -> bool {
    let path = head.split(' ').nth(1).unwrap_or("");
    let length = path.len();
    let body = if head.starts_with("HEAD ") { "" } else { path };
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn read_request(stream: &mut TcpStream, buffer: &mut String) -> Option<String> {
    loop {
        if let Some(size) = request_size(buffer) {
            return Some(buffer.drain(..size).collect());
        }
        let mut bytes = [0; 4096];
        let read = stream
            .read(&mut bytes)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        buffer.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
}

fn request_size(buffer: &str) -> Option<usize> {
    let head = buffer.find("\r\n\r\n")? + 4;
    if field(&buffer[..head], "transfer-encoding").is_some() {
        return buffer.find("0\r\n\r\n").map(|end| end + 5);
    }
    let length = field(&buffer[..head], "content-length");
    let size = head + length.map_or(0, |length| length.parse().unwrap_or(0));
    (buffer.len() >= size).then_some(size)
}

fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(own, _)| own.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
}
