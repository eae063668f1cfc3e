//! Outbound connections to all peers.

use std::{net::SocketAddr, sync::Arc};

use protocol::Envelope;
use tokio::task::JoinHandle;
use utils::HashMap;

use super::{link::run_link, send_queue::SendQueue};

/// Outbound connections to all peers, one for each peer address that was sent to lately.
#[derive(Debug, Default)]
pub(super) struct Links {
    /// The connections by peer address.
    links: HashMap<SocketAddr, Link>,
}

/// Outbound connection to one peer.
#[derive(Debug)]
struct Link {
    /// Messages that wait for the peer.
    queue: Arc<SendQueue>,
    /// Task that sends them; it ends when there are none for some time.
    task: JoinHandle<()>,
}

impl Links {
    /// Sends a message to the peer at `address`. Must be called inside of a runtime.
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
