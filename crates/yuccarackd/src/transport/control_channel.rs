//! Requests and responses between daemons over nng's request/reply protocol.

use std::{
    ffi::CString,
    io,
    net::SocketAddr,
    num::NonZeroI16,
    sync::Arc,
    time::{Duration, Instant},
};

use anng::{
    AioError, Message, Socket,
    init::{NngConfig, ThreadLimit, ThreadPoolConfig, init_nng},
    pipes::TcpOptions,
    protocols::reqrep0::{Rep0, Req0},
};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::{sleep, timeout_at};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::state::byte_budget::ByteBudget;

/// Bytes that nng and TCP/IP add to each message: length and request id, the headers of one segment
/// and of its acknowledgement.
const OVERHEAD_BYTES: usize = 8 + 4 + 52 + 52;
/// Requests that are processed concurrently.
const RESPONDERS: usize = 4;
/// Largest number of pooled connections to other daemons.
const POOLED_CONNECTIONS_MAX: usize = 32;
/// Delay after a failed receive, so that a persistent error doesn't cause a busy loop.
const ERROR_BACKOFF: Duration = Duration::from_millis(100);

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The address can't be expressed as an nng URL.
    #[error("peer address can't be expressed as an nng URL")]
    Address,
    /// The connection could not be established.
    #[error("can't connect to the peer")]
    Connect(#[source] io::Error),
    /// The connection failed during the exchange.
    #[error("connection to the peer failed during the exchange")]
    Transfer(#[source] AioError),
    /// No response arrived before the deadline.
    #[error("no response from the peer before the deadline")]
    DeadlinePassed,
}

/// Threads in each of nng's thread pools.
const POOL_THREADS: NonZeroI16 = match NonZeroI16::new(1) {
    Some(threads) => threads,
    None => unreachable!(),
};

/// Limits nng to one thread in each of its pools.
///
/// By default it starts one or more threads per core of the machine, in each of hundreds of
/// daemons; docs/TRANSPORT.md has the count. Only the first call in a process has an effect.
fn limit_threads() {
    let pool = ThreadPoolConfig::new(POOL_THREADS, ThreadLimit::Limit(POOL_THREADS));
    let mut config = NngConfig::new();
    config.task_threads = Some(pool);
    config.expire_threads = Some(pool);
    config.poller_threads = Some(pool);
    config.num_resolver_threads = Some(POOL_THREADS);
    // Fails only if nng is already initialized, as when a test starts a second daemon.
    let _ = init_nng(Some(config));
}

/// Receives requests of other daemons and sends the responses.
pub struct ControlChannelServer {
    socket: Arc<Socket<Rep0>>,
    address: SocketAddr,
    budget: ByteBudget,
}

impl ControlChannelServer {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// I/O error of the operating system if the address can't be bound.
    pub async fn listen(address: SocketAddr, budget: ByteBudget) -> io::Result<Self> {
        limit_threads();
        let socket = Rep0::socket()?;
        let address = socket.listen_tcp(address, &TcpOptions::default()).await?.local_addr()?;
        Ok(Self { socket: Arc::new(socket), address, budget })
    }

    /// Returns the address that the server listens on, with the port that the kernel assigned.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts tasks that pass each request to `handler`, until `stop`.
    pub fn serve<F, A>(self, handler: F, tracker: &TaskTracker, stop: &CancellationToken)
    where
        F: Fn(Vec<u8>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Vec<u8>> + Send,
    {
        for _ in 0..RESPONDERS {
            let socket = Arc::clone(&self.socket);
            let (budget, handler, stop) = (self.budget.clone(), handler.clone(), stop.clone());
            tracker.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = respond_to_all(&socket, &budget, handler) => {}
                }
            });
        }
    }
}

async fn respond_to_all<F, A>(socket: &Socket<Rep0>, budget: &ByteBudget, handler: F)
where
    F: Fn(Vec<u8>) -> A,
    A: Future<Output = Vec<u8>>,
{
    let mut context = socket.context();
    loop {
        let Ok((request, responder)) = context.receive().await else {
            sleep(ERROR_BACKOFF).await;
            continue;
        };
        budget.record_received(request.len() + OVERHEAD_BYTES);
        let bytes = handler(request.as_slice().to_vec()).await;
        budget.record_sent(bytes.len() + OVERHEAD_BYTES);
        // The response isn't needed if the requester has disconnected.
        let _ = responder.reply(Message::from(bytes.as_slice())).await;
    }
}

/// Pooled connection with the time of its last use.
struct PooledConnection {
    address: SocketAddr,
    socket: Arc<Socket<Req0>>,
    used_at: Instant,
}

/// Sends requests to other daemons; clones share their connections.
#[derive(Clone)]
pub struct ControlChannelClient {
    pooled: Arc<Mutex<Vec<PooledConnection>>>,
    budget: ByteBudget,
}

impl ControlChannelClient {
    /// Creates a client without connections.
    pub fn new(budget: ByteBudget) -> Self {
        limit_threads();
        Self { pooled: Arc::default(), budget }
    }

    /// Sends `request` to `address` and waits for the response.
    ///
    /// Requests may arrive twice, since nng repeats them on a new connection; all of them are
    /// idempotent.
    ///
    /// # Errors
    ///
    /// Any [`ChannelError`]; the connection is then removed from the pool.
    pub async fn send_request(
        &self,
        address: SocketAddr,
        request: &[u8],
        deadline: Instant,
    ) -> Result<Vec<u8>, ChannelError> {
        let result = match timeout_at(deadline.into(), self.exchange(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(ChannelError::DeadlinePassed),
        };
        if result.is_err() {
            self.remove_from_pool(address);
        }
        result
    }

    async fn exchange(&self, address: SocketAddr, request: &[u8]) -> Result<Vec<u8>, ChannelError> {
        let socket = self.connection(address).await?;
        let mut context = socket.context();
        context.set_resend_time(None).map_err(ChannelError::Connect)?;
        self.budget.record_sent(request.len() + OVERHEAD_BYTES);
        let pending = context.request(Message::from(request)).await;
        let response = pending.map_err(|(error, _)| ChannelError::Transfer(error))?;
        let response = response.await.map_err(ChannelError::Transfer)?;
        self.budget.record_received(response.len() + OVERHEAD_BYTES);
        Ok(response.as_slice().to_vec())
    }

    async fn connection(&self, address: SocketAddr) -> Result<Arc<Socket<Req0>>, ChannelError> {
        if let Some(pooled) = self.pooled.lock().iter_mut().find(|pooled| pooled.address == address)
        {
            pooled.used_at = Instant::now();
            return Ok(Arc::clone(&pooled.socket));
        }
        let socket = Req0::dial(nng_url(address)?).await.map_err(ChannelError::Connect)?;
        let socket = Arc::new(socket);
        self.add_to_pool(address, Arc::clone(&socket));
        Ok(socket)
    }

    fn add_to_pool(&self, address: SocketAddr, socket: Arc<Socket<Req0>>) {
        let pooled = PooledConnection { address, socket, used_at: Instant::now() };
        let mut connections = self.pooled.lock();
        connections.push(pooled);
        if connections.len() <= POOLED_CONNECTIONS_MAX {
            return;
        }
        let oldest = connections.iter().enumerate().min_by_key(|(_, pooled)| pooled.used_at);
        if let Some((index, _)) = oldest {
            connections.swap_remove(index);
        }
    }

    fn remove_from_pool(&self, address: SocketAddr) {
        self.pooled.lock().retain(|pooled| pooled.address != address);
    }
}

fn nng_url(address: SocketAddr) -> Result<CString, ChannelError> {
    CString::new(format!("tcp://{address}")).map_err(|_| ChannelError::Address)
}
