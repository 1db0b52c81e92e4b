//! A fault-injecting TCP proxy that delays, throttles, drops and cuts off traffic.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Notify,
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::{wire_data, wire_kind};

use crate::{
    link_rate::LinkRate,
    server::{HandlerResult, Server, listen, read_json, respond},
};

/// Largest piece that is forwarded at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Most open connections of the control address.
const CONTROL_CONNECTIONS_MAX: usize = 16;

wire_kind! {
    /// Direction of traffic through the proxy.
    pub enum Direction {
        /// From the client to the upstream address.
        Upstream,
        /// From the upstream address to the client.
        Downstream,
    }
}

wire_data! {
    /// Faults of a proxy; `POST /faults` replaces all of them.
    #[derive(Default)]
    #[serde(default)]
    pub struct ProxyFaults {
        /// Delay of each piece, in ms.
        pub delay_ms: u64,
        /// Whether new connections are closed at once; setting it closes the open ones.
        pub refuse: bool,
        /// A direction in which all traffic is dropped, while the other one works.
        pub half_open: Option<Direction>,
        /// Whether all traffic is dropped; connections stay open.
        pub black_hole: bool,
        /// Closes each connection once it has forwarded so many bytes in one direction.
        pub cut_after_bytes: Option<CutAfter>,
        /// Whether a connection is closed at the first byte of the response, which is dropped.
        pub swallow_answer: bool,
        /// Number of times that the last two faults still take effect; `None` for no limit.
        pub times: Option<u32>,
        /// Bandwidth per direction over all connections together, in bytes per second; `None` for
        /// no limit.
        pub bytes_per_s: Option<u64>,
    }

    /// Point at which a connection is closed.
    #[derive(Copy)]
    pub struct CutAfter {
        /// Direction whose bytes are counted.
        pub direction: Direction,
        /// Bytes that are still forwarded.
        pub bytes: u64,
    }
}

/// A running proxy; end it with [`Proxy::stop`].
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: TaskTracker,
}

#[derive(Debug)]
struct Shared {
    upstream: Mutex<SocketAddr>,
    faults: Mutex<ProxyFaults>,
    upstream_rate: LinkRate,
    downstream_rate: LinkRate,
    cut: Mutex<CancellationToken>,
    changed: Notify,
    end: CancellationToken,
}

/// What happens to a piece of traffic.
enum ForwardDecision {
    /// Its first `bytes` are forwarded; the connection is closed after them if `cut`.
    Pass { bytes: usize, cut: bool },
    /// It is dropped; the connection stays open.
    Drop,
}

impl Proxy {
    /// Listens on `address` and forwards to `upstream`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = listen(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            upstream: Mutex::new(upstream),
            faults: Mutex::default(),
            upstream_rate: LinkRate::default(),
            downstream_rate: LinkRate::default(),
            cut: Mutex::default(),
            changed: Notify::new(),
            end: CancellationToken::new(),
        });
        let tasks = TaskTracker::new();
        tasks.spawn(accept(listener, Arc::clone(&shared), tasks.clone()));
        Ok(Self { address, shared, tasks })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another address.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock() = upstream;
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.set_faults(faults);
    }

    /// Closes all connections that are open now.
    pub fn cut_connections(&self) {
        self.shared.cut_connections();
    }

    /// Serves `POST /faults` and `POST /cut` on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn serve_control(&self, address: SocketAddr) -> io::Result<Server> {
        let shared = Arc::clone(&self.shared);
        Server::start(listen(address).await?, CONTROL_CONNECTIONS_MAX, move |request| {
            let shared = Arc::clone(&shared);
            async move { control(&shared, request).await }
        })
    }

    /// Closes the listener and all connections and waits for their tasks.
    pub async fn stop(self) {
        self.shared.end.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.end.cancel();
    }
}

impl Shared {
    fn set_faults(&self, faults: ProxyFaults) {
        let refuse = faults.refuse;
        self.upstream_rate.set(faults.bytes_per_s);
        self.downstream_rate.set(faults.bytes_per_s);
        *self.faults.lock() = faults;
        self.changed.notify_waiters();
        if refuse {
            self.cut_connections();
        }
    }

    fn cut_connections(&self) {
        let mut cut = self.cut.lock();
        cut.cancel();
        *cut = CancellationToken::new();
    }

    fn rate(&self, direction: Direction) -> &LinkRate {
        match direction {
            Direction::Upstream => &self.upstream_rate,
            Direction::Downstream => &self.downstream_rate,
        }
    }

    /// Decides what happens to `length` bytes after `forwarded` bytes in the same direction.
    fn decide(&self, direction: Direction, length: usize, forwarded: u64) -> ForwardDecision {
        let mut faults = self.faults.lock();
        if faults.black_hole || faults.half_open == Some(direction) {
            return ForwardDecision::Drop;
        }
        if faults.swallow_answer && direction == Direction::Downstream && faults.take_hit() {
            return ForwardDecision::Pass { bytes: 0, cut: true };
        }
        match faults.cut_after_bytes {
            Some(cut) if cut.direction == direction && forwarded + length as u64 > cut.bytes => {
                let bytes = usize::try_from(cut.bytes.saturating_sub(forwarded)).unwrap_or(length);
                if !faults.take_hit() {
                    return ForwardDecision::Pass { bytes: length, cut: false };
                }
                ForwardDecision::Pass { bytes, cut: true }
            }
            _ => ForwardDecision::Pass { bytes: length, cut: false },
        }
    }
}

impl ProxyFaults {
    /// Returns whether a counted fault takes effect once more, and counts it.
    fn take_hit(&mut self) -> bool {
        match &mut self.times {
            None => true,
            Some(0) => false,
            Some(left) => {
                *left -= 1;
                true
            }
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, tasks: TaskTracker) {
    loop {
        let accepted = tokio::select! {
            () = shared.end.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        if shared.faults.lock().refuse {
            continue;
        }
        let cut = shared.cut.lock().clone();
        let shared = Arc::clone(&shared);
        tasks.spawn(async move {
            tokio::select! {
                () = cut.cancelled() => {}
                () = shared.end.cancelled() => {}
                // An I/O error closes the connection at both ends; nothing else depends on it.
                _ = forward(stream, &shared) => {}
            }
        });
    }
}

async fn forward(client: TcpStream, shared: &Shared) -> io::Result<()> {
    let upstream = *shared.upstream.lock();
    let server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let upstream_copy = forward_one_way(client_read, server_write, Direction::Upstream, shared);
    let downstream_copy = forward_one_way(server_read, client_write, Direction::Downstream, shared);
    tokio::try_join!(upstream_copy, downstream_copy)?;
    Ok(())
}

async fn forward_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    shared: &Shared,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    let mut forwarded = 0;
    loop {
        let rate = shared.rate(direction);
        let length_max = rate.chunk_bytes().unwrap_or(PIECE_BYTES).min(PIECE_BYTES);
        let length = from.read(&mut piece[..length_max]).await?;
        rate.transmit(length).await;
        let delay_ms = shared.faults.lock().delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if length == 0 {
            // The end of the stream is held back while traffic in this direction is dropped.
            while matches!(shared.decide(direction, 0, forwarded), ForwardDecision::Drop) {
                shared.changed.notified().await;
            }
            return to.shutdown().await;
        }
        match shared.decide(direction, length, forwarded) {
            ForwardDecision::Drop => {}
            ForwardDecision::Pass { bytes, cut } => {
                to.write_all(&piece[..bytes]).await?;
                forwarded += bytes as u64;
                if cut {
                    to.flush().await?;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
        }
    }
}

async fn control(shared: &Shared, request: Request<Incoming>) -> HandlerResult {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/faults") => {
            let faults = read_json(request.into_body()).await?;
            shared.set_faults(faults);
            respond(StatusCode::NO_CONTENT, Bytes::new())
        }
        (&Method::POST, "/cut") => {
            shared.cut_connections();
            respond(StatusCode::NO_CONTENT, Bytes::new())
        }
        _ => respond(StatusCode::NOT_FOUND, "nothing there"),
    }
}
