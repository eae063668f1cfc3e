//! HTTP server of the stand-ins.

use std::{io, net::SocketAddr};

use tokio::{
    net::TcpListener,
    sync::watch,
    task::{AbortHandle, JoinSet},
};
use viz::{Router, Tree};

/// A running HTTP server. Dropping the handle kills the server and closes all of its
/// connections, as if its process had died.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    /// Aborts the server's task, which also closes its connections.
    task: AbortHandle,
    /// Closed once the task has ended.
    ended: watch::Receiver<()>,
}

impl ServerHandle {
    /// Starts a server for `routes` on `address`. With port 0, the system picks a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, routes: Router) -> io::Result<ServerHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (tx, ended) = watch::channel(());
        let task = tokio::spawn(async move {
            let _tx = tx;
            accept_connections(listener, routes).await;
        });
        Ok(ServerHandle { address, task: task.abort_handle(), ended })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that kills the server when aborted.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task.clone()
    }

    /// Kills the server and closes its connections. Connections may still be accepted for a moment;
    /// [`ended`](ServerHandle::ended) waits for that.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Waits until the server has ended and its address refuses connections.
    pub async fn ended(&self) {
        // Nothing is ever sent; the error means that the task has dropped its sender.
        let _ = self.ended.clone().changed().await;
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept_connections(listener: TcpListener, routes: Router) {
    let tree = std::sync::Arc::new(Tree::from(routes));
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
