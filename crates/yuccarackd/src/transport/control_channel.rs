//! Questions and answers between daemons over nng's request/reply protocol.

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

/// Bytes that nng and TCP/IP add to each message: length and request id, one segment's headers and
/// its acknowledgement.
const OVERHEAD_BYTES: usize = 8 + 4 + 52 + 52;
/// Questions that are answered at the same time.
const ANSWERERS: usize = 4;
/// Connections to other daemons that are kept.
const CONNECTIONS_MAX: usize = 32;
/// Pause after the listener failed, so that a lasting fault doesn't spin.
const FAULT_PAUSE: Duration = Duration::from_millis(100);

/// Why a question got no answer.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The address can't be written as one of nng's.
    #[error("the address has a form that nng doesn't take")]
    Address,
    /// No connection could be had.
    #[error("no connection")]
    Connect(#[source] io::Error),
    /// The connection failed.
    #[error("the connection failed")]
    Transfer(#[source] AioError),
    /// No answer came before the deadline.
    #[error("no answer came before the deadline")]
    DeadlinePassed,
}

/// Threads in each of nng's pools.
const POOL_THREADS: NonZeroI16 = match NonZeroI16::new(1) {
    Some(threads) => threads,
    None => unreachable!(),
};

/// Holds nng to one thread for each of its pools.
///
/// By itself it starts one or more for each of the machine's cores, in each of hundreds of
/// daemons; docs/TRANSPORT.md has the count. Only the first call in a process changes anything.
fn limit_threads() {
    let pool = ThreadPoolConfig::new(POOL_THREADS, ThreadLimit::Limit(POOL_THREADS));
    let mut config = NngConfig::new();
    config.task_threads = Some(pool);
    config.expire_threads = Some(pool);
    config.poller_threads = Some(pool);
    config.num_resolver_threads = Some(POOL_THREADS);
    // The only failure left is that nng runs already, as when a test starts a second daemon.
    let _ = init_nng(Some(config));
}

/// Answers the questions of other daemons.
pub struct ControlServer {
    socket: Arc<Socket<Rep0>>,
    address: SocketAddr,
    budget: ByteBudget,
}

impl ControlServer {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// The operating system's, when the address can't be had.
    pub async fn listen(address: SocketAddr, budget: ByteBudget) -> io::Result<Self> {
        limit_threads();
        let socket = Rep0::socket()?;
        let address = socket.listen_tcp(address, &TcpOptions::default()).await?.local_addr()?;
        Ok(Self { socket: Arc::new(socket), address, budget })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts tasks that give each question to `answer`, until `stop`.
    pub fn serve<F, A>(self, answer: F, tracker: &TaskTracker, stop: &CancellationToken)
    where
        F: Fn(Vec<u8>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Vec<u8>> + Send,
    {
        for _ in 0..ANSWERERS {
            let socket = Arc::clone(&self.socket);
            let (budget, answer, stop) = (self.budget.clone(), answer.clone(), stop.clone());
            tracker.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = answer_all(&socket, &budget, answer) => {}
                }
            });
        }
    }
}

async fn answer_all<F, A>(socket: &Socket<Rep0>, budget: &ByteBudget, answer: F)
where
    F: Fn(Vec<u8>) -> A,
    A: Future<Output = Vec<u8>>,
{
    let mut context = socket.context();
    loop {
        let Ok((question, responder)) = context.receive().await else {
            sleep(FAULT_PAUSE).await;
            continue;
        };
        budget.record_received(question.len() + OVERHEAD_BYTES);
        let bytes = answer(question.as_slice().to_vec()).await;
        budget.record_sent(bytes.len() + OVERHEAD_BYTES);
        // An asker that has gone needs no answer.
        let _ = responder.reply(Message::from(bytes.as_slice())).await;
    }
}

/// One kept connection and when it was last used.
struct Kept {
    address: SocketAddr,
    socket: Arc<Socket<Req0>>,
    used_at: Instant,
}

/// Asks other daemons; clones share their connections.
#[derive(Clone)]
pub struct ControlClient {
    kept: Arc<Mutex<Vec<Kept>>>,
    budget: ByteBudget,
}

impl ControlClient {
    /// Starts without connections.
    pub fn new(budget: ByteBudget) -> Self {
        limit_threads();
        Self { kept: Arc::default(), budget }
    }

    /// Sends `question` to `address` and waits for the answer.
    ///
    /// Questions may arrive twice, since nng repeats them on a new connection; they are all
    /// idempotent.
    ///
    /// # Errors
    ///
    /// Any [`ChannelError`]; the connection isn't used again then.
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: &[u8],
        deadline: Instant,
    ) -> Result<Vec<u8>, ChannelError> {
        let result = match timeout_at(deadline.into(), self.exchange(address, question)).await {
            Ok(result) => result,
            Err(_) => Err(ChannelError::DeadlinePassed),
        };
        if result.is_err() {
            self.forget(address);
        }
        result
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        question: &[u8],
    ) -> Result<Vec<u8>, ChannelError> {
        let socket = self.connection(address).await?;
        let mut context = socket.context();
        context.set_resend_time(None).map_err(ChannelError::Connect)?;
        self.budget.record_sent(question.len() + OVERHEAD_BYTES);
        let asked = context.request(Message::from(question)).await;
        let answer = asked.map_err(|(error, _)| ChannelError::Transfer(error))?;
        let answer = answer.await.map_err(ChannelError::Transfer)?;
        self.budget.record_received(answer.len() + OVERHEAD_BYTES);
        Ok(answer.as_slice().to_vec())
    }

    async fn connection(&self, address: SocketAddr) -> Result<Arc<Socket<Req0>>, ChannelError> {
        if let Some(kept) = self.kept.lock().iter_mut().find(|kept| kept.address == address) {
            kept.used_at = Instant::now();
            return Ok(Arc::clone(&kept.socket));
        }
        let socket = Req0::dial(url(address)?).await.map_err(ChannelError::Connect)?;
        let socket = Arc::new(socket);
        self.keep(address, Arc::clone(&socket));
        Ok(socket)
    }

    fn keep(&self, address: SocketAddr, socket: Arc<Socket<Req0>>) {
        let kept = Kept { address, socket, used_at: Instant::now() };
        let mut connections = self.kept.lock();
        connections.push(kept);
        if connections.len() <= CONNECTIONS_MAX {
            return;
        }
        let oldest = connections.iter().enumerate().min_by_key(|(_, kept)| kept.used_at);
        if let Some((index, _)) = oldest {
            connections.swap_remove(index);
        }
    }

    fn forget(&self, address: SocketAddr) {
        self.kept.lock().retain(|kept| kept.address != address);
    }
}

fn url(address: SocketAddr) -> Result<CString, ChannelError> {
    CString::new(format!("tcp://{address}")).map_err(|_| ChannelError::Address)
}
