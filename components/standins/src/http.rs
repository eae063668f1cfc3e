//! Running an HTTP server of a stand-in.

use std::{io, net::SocketAddr};

use tokio::{
    net::TcpListener,
    sync::watch,
    task::{AbortHandle, JoinSet},
};
use viz::{Router, Tree};

/// A running HTTP server. Dropping the handle kills the server: all of its
/// connections break, as if its process had died.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address that the server listens on.
    address: SocketAddr,
    /// Ends the server's task and, with it, its connections.
    task: AbortHandle,
    /// Closed when the task has ended.
    _ended: watch::Receiver<()>,
}

impl ServerHandle {
    /// Starts a server of `router` on `address`; port 0 picks a free one.
    ///
    /// # Errors
    /// Where the address cannot be listened on.
    pub async fn start(address: SocketAddr, router: Router) -> io::Result<ServerHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (tx, ended) = watch::channel(());
        let task = tokio::spawn(async move {
            let _tx = tx;
            accept_connections(listener, router).await;
        });
        Ok(ServerHandle { address, task: task.abort_handle(), _ended: ended })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what kills the server.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task.clone()
    }

    /// Kills the server: its connections break.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept_connections(listener: TcpListener, router: Router) {
    let tree = std::sync::Arc::new(Tree::from(router));
    // Dropping the set aborts the connections.
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let service = viz::Responder::new(tree.clone(), Some(peer));
        let io = hyper_util::rt::TokioIo::new(stream);
        connections.spawn(async move {
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}
