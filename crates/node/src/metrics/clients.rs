//! Metrics of what the clients of all listeners hold, and of those that were refused.

use gaplock_serve::account::Account;
use gaplock_serve::budget::Class;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    class: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    class: String,
    reason: String,
}

/// The metrics of clients.
pub struct ClientMetrics {
    connections: Family<ClassLabel, Gauge>,
    memory: Family<ClassLabel, Gauge>,
    refused: Family<RefusalLabel, Counter>,
}

/// Registers the metrics of clients.
pub fn open(registry: &mut Registry) -> ClientMetrics {
    let connections = Family::<ClassLabel, Gauge>::default();
    let help = "Open connections of clients by class";
    registry.register("client_connections", help, connections.clone());
    let memory = Family::<ClassLabel, Gauge>::default();
    let help = "Memory that clients are charged, in bytes, by class";
    registry.register("client_memory_bytes", help, memory.clone());
    let refused = Family::<RefusalLabel, Counter>::default();
    let help = "Clients that were refused or whose connection was closed, by class and reason";
    registry.register("clients_refused", help, refused.clone());
    ClientMetrics { connections, memory, refused }
}

impl ClientMetrics {
    /// Shows the present state of the account.
    pub fn show(&self, account: &Account) {
        for class in Class::ALL {
            let (label, used) = (ClassLabel { class: class.to_string() }, account.used(class));
            self.connections.get_or_create(&label).set(used.connections as i64);
            self.memory.get_or_create(&label).set(used.memory.0 as i64);
        }
        for ((class, reason), total) in account.counts() {
            let label = RefusalLabel { class: class.to_string(), reason: reason.to_string() };
            let refused = self.refused.get_or_create(&label);
            refused.inc_by(total.saturating_sub(refused.get()));
        }
    }
}
