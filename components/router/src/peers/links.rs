//! Outbound connections to all peers.

use std::{net::SocketAddr, sync::Arc};

use protocol::Envelope;
use tokio::task::JoinHandle;
use utils::HashMap;

use super::{link::run_link, send_queue::SendQueue};

/// Outbound connections to all peers, one per peer address with recent messages.
#[derive(Debug, Default)]
pub(super) struct Links {
    /// Connections by peer address.
    links: HashMap<SocketAddr, Link>,
}

/// Outbound connection to one peer.
#[derive(Debug)]
struct Link {
    /// Messages waiting to be sent.
    queue: Arc<SendQueue>,
    /// Task that sends them; ends after an idle period.
    task: JoinHandle<()>,
}

impl Links {
    /// Queues a message for the peer at `address`. Must be called within a Tokio runtime.
    pub(super) fn send(&mut self, address: SocketAddr, envelope: Envelope) {
        if let Some(link) = self.links.get(&address) {
            link.queue.push(envelope);
            if !link.task.is_finished() {
                return;
            }
            self.start(address, link.queue.clone());
            return;
        }
        let queue = Arc::new(SendQueue::default());
        queue.push(envelope);
        self.start(address, queue);
    }

    fn start(&mut self, address: SocketAddr, queue: Arc<SendQueue>) {
        self.links.retain(|_, link| !link.task.is_finished());
        let task = tokio::spawn(run_link(address, queue.clone()));
        self.links.insert(address, Link { queue, task });
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        for link in self.links.values() {
            link.task.abort();
        }
    }
}
