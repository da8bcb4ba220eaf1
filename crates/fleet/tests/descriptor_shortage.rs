//! Descriptors for the daemon's own calls beside clients that take all of them. The limit of this process is lowered, so that the
//! file has one test.

use std::{
    fs::{
        self,
        File, //
    },
    rc::Rc,
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use jasminebend_fleet::{
    HttpHandler,
    HttpPool,
    RequestBody,
    serve_on, //
};
use jasminebend_ingress::{
    ConnectionLimits,
    ConnectionTable,
    DescriptorShortage, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::{
        self,
        LocalSet, //
    },
};

const CLIENTS: usize = 40;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

struct EmptyAnswer;

#[async_trait(?Send)]
impl HttpHandler for EmptyAnswer {
    async fn handle(&self, _request: Request<RequestBody>) -> Response<Full<Bytes>> {
        Response::new(Full::new(Bytes::new()))
    }
}

/// Lowers the limit on descriptors to those that are open, and opens what is left.
fn take_all_descriptors() -> Vec<File> {
    let open = fs::read_dir("/proc/self/fd").expect("a directory").count();
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: The pointers are to a valid limit.
    let lowered = unsafe {
        libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit);
        limit.rlim_cur = open.try_into().unwrap_or(limit.rlim_cur);
        libc::setrlimit(libc::RLIMIT_NOFILE, &raw const limit)
    };
    assert_eq!(lowered, 0);
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    (listener, address)
}

async fn call_beside_clients() {
    let shortage = DescriptorShortage::default();
    let (_stop, stopping) = watch::channel(false);
    let (store, store_address) = listen().await;
    let trusted = ConnectionTable::default();
    serve_on(store, Rc::new(EmptyAnswer), stopping.clone(), trusted);
    let (listener, address) = listen().await;
    let limits = ConnectionLimits {
        connections: 2 * CLIENTS,
        ..ConnectionLimits::NONE
    };
    let table = ConnectionTable::new(limits).with_shortage(&shortage);
    serve_on(listener, Rc::new(EmptyAnswer), stopping, table.clone());
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(TcpStream::connect(&address).await.expect("it listens"));
    }
    while table.connection_count() < CLIENTS {
        task::yield_now().await;
    }
    let _taken = take_all_descriptors();
    let pool = HttpPool::new().with_shortage(&shortage);
    let request = Request::get("/").header("host", &store_address);
    let request = request.body(Full::default()).expect("a request");
    let reply = pool.call(&store_address, request, CALL_TIMEOUT).await;
    assert_eq!(reply.map(|reply| reply.status), Ok(StatusCode::OK));
    assert!(table.connection_count() < CLIENTS);
}

/// Guards against daemons that can't reach the store and their workers as long as idle clients hold all descriptors.
#[tokio::test(flavor = "current_thread")]
async fn own_calls_find_descriptors_beside_idle_clients() {
    LocalSet::new().run_until(call_beside_clients()).await;
}
