//! A TCP proxy that delays, cuts, swallows and loses what it carries.

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

/// Largest piece that is carried at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Connections that the control address takes.
const CONTROL_CONNECTIONS_MAX: usize = 16;

wire_kind! {
    /// A way through the proxy.
    pub enum Direction {
        /// From who connected to whom it is connected to.
        Upstream,
        /// Back.
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
        /// Whether new connections are closed at once and old ones cut.
        pub refuse: bool,
        /// A way on which nothing is carried any more, while the other goes on.
        pub half_open: Option<Direction>,
        /// Whether nothing is carried any more; connections stay open.
        pub black_hole: bool,
        /// Cuts each connection once so much has gone one way since the fault was set.
        pub cut_after_bytes: Option<CutAfter>,
        /// Whether what comes back is dropped and the connection cut at its first byte.
        pub swallow_answer: bool,
        /// Connections that the last two faults still hit; unset, all.
        pub times: Option<u32>,
        /// Bytes a second that pass each way over all connections together; unset, any number.
        pub bytes_per_s: Option<u64>,
    }

    /// Where a connection is cut.
    #[derive(Copy)]
    pub struct CutAfter {
        /// The way that is counted.
        pub direction: Direction,
        /// Bytes that still pass.
        pub bytes: u64,
    }
}

/// A running proxy; its owner ends it with [`Proxy::stop`].
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

/// What a carrier does with a piece.
enum ForwardDecision {
    /// It passes up to this many bytes, and the connection is cut after them when `cut`.
    Pass { bytes: usize, cut: bool },
    /// It isn't carried; the connection stays open.
    Drop,
}

impl Proxy {
    /// Listens on `address` and carries to `upstream`.
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

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Carries new connections to another address.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock() = upstream;
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.set_faults(faults);
    }

    /// Cuts all connections that are open now.
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

    /// Cuts everything and joins all it spawned.
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

    /// Decides about a piece of `length` after `carried` bytes on the same way.
    fn decide(&self, direction: Direction, length: usize, carried: u64) -> ForwardDecision {
        let mut faults = self.faults.lock();
        if faults.black_hole || faults.half_open == Some(direction) {
            return ForwardDecision::Drop;
        }
        if faults.swallow_answer && direction == Direction::Downstream && faults.take_hit() {
            return ForwardDecision::Pass { bytes: 0, cut: true };
        }
        match faults.cut_after_bytes {
            Some(cut) if cut.direction == direction && carried + length as u64 > cut.bytes => {
                let bytes = usize::try_from(cut.bytes.saturating_sub(carried)).unwrap_or(length);
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
    /// Whether a fault with a count hits once more.
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
                // A broken connection shows at both ends; there is no one else to tell.
                _ = forward(stream, &shared) => {}
            }
        });
    }
}

async fn forward(caller: TcpStream, shared: &Shared) -> io::Result<()> {
    let upstream = *shared.upstream.lock();
    let callee = TcpStream::connect(upstream).await?;
    caller.set_nodelay(true)?;
    callee.set_nodelay(true)?;
    let (caller_read, caller_write) = caller.into_split();
    let (callee_read, callee_write) = callee.into_split();
    let there = forward_one_way(caller_read, callee_write, Direction::Upstream, shared);
    let back = forward_one_way(callee_read, caller_write, Direction::Downstream, shared);
    tokio::try_join!(there, back)?;
    Ok(())
}

async fn forward_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    shared: &Shared,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    let mut carried = 0;
    loop {
        let rate = shared.rate(direction);
        let most = rate.chunk_bytes().unwrap_or(PIECE_BYTES).min(PIECE_BYTES);
        let length = from.read(&mut piece[..most]).await?;
        rate.transmit(length).await;
        let delay_ms = shared.faults.lock().delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if length == 0 {
            // An end of the stream is lost like any piece while the way is closed.
            while matches!(shared.decide(direction, 0, carried), ForwardDecision::Drop) {
                shared.changed.notified().await;
            }
            return to.shutdown().await;
        }
        match shared.decide(direction, length, carried) {
            ForwardDecision::Drop => {}
            ForwardDecision::Pass { bytes, cut } => {
                to.write_all(&piece[..bytes]).await?;
                carried += bytes as u64;
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
