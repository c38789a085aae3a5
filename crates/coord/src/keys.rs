//! Names of the keys that gaplock keeps in the platform's store.

use gaplock_types::ids;

/// Key of the configuration in force.
pub const CONFIG: &str = "gaplock/config";
/// Key of the latest configuration generations, kept for the history.
pub const HISTORY: &str = "gaplock/history";
/// Prefix of the membership records, one for each entry.
pub const MEMBERS: &str = "gaplock/members/";

/// Returns the prefix of all keys of a partition.
pub fn partition_prefix(id: ids::PartitionId) -> String {
    format!("gaplock/part/{}/", id.0)
}

/// Returns the key of a partition's snapshot.
pub fn snapshot(id: ids::PartitionId) -> String {
    format!("gaplock/part/{}/snap", id.0)
}

/// Returns the key of one slot of a partition's journal.
pub fn slot(id: ids::PartitionId, slot: u64) -> String {
    format!("gaplock/part/{}/log/{slot}", id.0)
}

/// Returns the key of an entry's membership record.
pub fn member(entry: &ids::EntryId) -> String {
    format!("{MEMBERS}{entry}")
}
