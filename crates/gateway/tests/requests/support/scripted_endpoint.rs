//! [`ScriptedEndpoint`]: an HTTP endpoint that processes requests as its script says.

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
pub(crate) enum EndpointAction {
    /// Responds 200 with the path of the request.
    Answer,
    /// Works until [`ScriptedEndpoint::release`], whatever happens to the connection, and then
    /// responds.
    Hold,
    /// Works for this long, whatever happens to the connection, and then responds.
    Work(Duration),
    /// Keeps reading and never responds, as if the connection went silent.
    Silent,
    /// Writes these bytes.
    Raw(&'static str),
    /// Writes these bytes and closes the connection.
    Close(&'static str),
}

/// What an endpoint has received, and its script.
#[derive(Default)]
pub(crate) struct RequestLog {
    /// How often the request with each `X-Request-Id` was run.
    pub(crate) runs_by_request_id: IndexMap<String, u32>,
    /// The heads and bodies of the requests received.
    pub(crate) request_heads: Vec<String>,
    /// The requests in progress now.
    pub(crate) running_requests: usize,
    /// The most requests in progress at once.
    pub(crate) max_running_requests: usize,
    /// The connections that are open now.
    pub(crate) open_connections: usize,
    /// The most connections open at once.
    pub(crate) max_open_connections: usize,
    /// The connections accepted so far.
    pub(crate) accepted_connections: usize,
    /// Connections with a lower number are silent.
    silent_before_connection: usize,
    /// The action for requests without one of their own; `Answer` if unset.
    default_action: Option<EndpointAction>,
    /// The actions for the next requests.
    next_actions: VecDeque<EndpointAction>,
}

/// An HTTP endpoint that processes requests as its script says.
pub(crate) struct ScriptedEndpoint {
    pub(crate) address: SocketAddr,
    log: Arc<Mutex<RequestLog>>,
    released: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl ScriptedEndpoint {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log = Arc::<Mutex<RequestLog>>::default();
        let released = watch::Sender::new(false);
        let shared = (Arc::clone(&log), released.subscribe());
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shared.0.clone(), shared.1.clone()));
            }
        });
        Self {
            address,
            log,
            released,
            accept_task,
        }
    }

    /// Adds an action for the next request that has none yet.
    pub(crate) fn push_action(&self, action: EndpointAction) -> &Self {
        self.log().next_actions.push_back(action);
        self
    }

    /// Sets the action for all requests without an action of their own.
    pub(crate) fn set_default_action(&self, action: EndpointAction) -> &Self {
        self.log().default_action = Some(action);
        self
    }

    /// Lets requests with [`EndpointAction::Hold`] complete, now and from now on.
    pub(crate) fn release(&self) {
        self.released.send_replace(true);
    }

    /// Makes all connections that are open now silent: requests on them get no response.
    pub(crate) fn silence_open_connections(&self) {
        let mut log = self.log();
        log.silent_before_connection = log.accepted_connections;
    }

    pub(crate) fn log(&self) -> MutexGuard<'_, RequestLog> {
        self.log.lock().unwrap()
    }

    /// Returns how many requests were received.
    pub(crate) fn request_count(&self) -> usize {
        self.log().request_heads.len()
    }
}

impl Drop for ScriptedEndpoint {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    log: Arc<Mutex<RequestLog>>,
    released: watch::Receiver<bool>,
) {
    let mut connection_number = 0;
    update_log(&log, |log| {
        connection_number = log.accepted_connections;
        log.accepted_connections += 1;
        log.open_connections += 1;
        log.max_open_connections = log.max_open_connections.max(log.open_connections);
    });
    let mut buffer = String::new();
    while let Some(head) = read_request(&mut stream, &mut buffer).await {
        if connection_number < log.lock().unwrap().silent_before_connection {
            while stream.read(&mut [0; 64]).await.is_ok_and(|read| read > 0) {}
            break;
        }
        let action = start_request(&log, &head);
        let open = perform_action(action, &head, &mut stream, released.clone()).await;
        update_log(&log, |log| log.running_requests -= 1);
        if !open {
            break;
        }
    }
    update_log(&log, |log| log.open_connections -= 1);
}

fn update_log<Change>(log: &Mutex<RequestLog>, change: Change)
where
    Change: FnOnce(&mut RequestLog),
{
    change(&mut log.lock().unwrap());
}

/// Records a request and returns its action.
fn start_request(log: &Mutex<RequestLog>, head: &str) -> EndpointAction {
    let mut log = log.lock().unwrap();
    log.running_requests += 1;
    log.max_running_requests = log.max_running_requests.max(log.running_requests);
    log.request_heads.push(head.to_owned());
    if let Some(id) = header_field(head, "x-request-id") {
        *log.runs_by_request_id.entry(id).or_default() += 1;
    }
    let next_actions = log.next_actions.pop_front();
    next_actions
        .or_else(|| log.default_action.clone())
        .unwrap_or(EndpointAction::Answer)
}

/// Performs an action. Returns whether the connection stays open.
async fn perform_action(
    action: EndpointAction,
    head: &str,
    stream: &mut TcpStream,
    mut released: watch::Receiver<bool>,
) -> bool {
    match action {
        EndpointAction::Answer => send_path_response(head, stream).await,
        EndpointAction::Hold => {
            released.wait_for(|released| *released).await.ok();
            send_path_response(head, stream).await
        }
        EndpointAction::Work(time) => {
            sleep(time).await;
            send_path_response(head, stream).await
        }
        EndpointAction::Silent => {
            while stream.read(&mut [0; 64]).await.is_ok_and(|read| read > 0) {}
            false
        }
        EndpointAction::Raw(bytes) => stream.write_all(bytes.as_bytes()).await.is_ok(),
        EndpointAction::Close(bytes) => {
            stream.write_all(bytes.as_bytes()).await.ok();
            false
        }
    }
}

async fn send_path_response(head: &str, stream: &mut TcpStream) -> bool {
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
    if header_field(&buffer[..head], "transfer-encoding").is_some() {
        return buffer.find("0\r\n\r\n").map(|end| end + 5);
    }
    let length = header_field(&buffer[..head], "content-length");
    let size = head + length.map_or(0, |length| length.parse().unwrap_or(0));
    (buffer.len() >= size).then_some(size)
}

fn header_field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(header, _)| header.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
}
