//! Runs the platform stand-in until it gets SIGTERM or SIGINT.

use std::{io, net::SocketAddr};

use bpaf::Bpaf;
use yuccarack_standins::{
    platform::Platform,
    process::{ReadyLine, print_ready_line, wait_for_shutdown},
};

/// Stand-in of the platform's table and object store
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Address to listen on, with port 0 for any
    #[bpaf(long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = options().run();
    let platform = Platform::start(options.listen).await?;
    print_ready_line(&ReadyLine { listening: platform.address(), control: None })?;
    wait_for_shutdown().await?;
    platform.stop().await;
    Ok(())
}
