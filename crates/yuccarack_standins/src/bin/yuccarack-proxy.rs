//! Runs a fault-injecting TCP proxy until it gets SIGTERM or SIGINT.

use std::{io, net::SocketAddr};

use bpaf::Bpaf;
use yuccarack_standins::{
    process::{ReadyLine, print_ready_line, wait_for_shutdown},
    proxy::Proxy,
};

/// TCP proxy with injected faults
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Address to listen on, with port 0 for any
    #[bpaf(long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Address for faults, with port 0 for any
    #[bpaf(long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
    /// Address to forward to
    #[bpaf(long, argument("ADDRESS"))]
    upstream: SocketAddr,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let options = options().run();
    let proxy = Proxy::start(options.listen, options.upstream).await?;
    let control = proxy.serve_control(options.control).await?;
    print_ready_line(&ReadyLine { listening: proxy.address(), control: Some(control.address()) })?;
    wait_for_shutdown().await?;
    control.stop().await;
    proxy.stop().await;
    Ok(())
}
