//! Decoding of the watched keys and their values, from the items of a listing and the events of the watch.

use super::job_cache::JobCache;
use crate::io::Value;
use crate::store::records::{
    LeaderKey, LeaderRecord, StoredLeader, ADMIN_SETTINGS_KEY, CATALOG_KEY, GATED_CATALOG_KEY,
    JOB_PREFIX, WATERMARK_PREFIX,
};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::Event;
use serde::de::DeserializeOwned;

impl JobCache {
    /// Applies a watched key. A value that can't be read is counted and leaves the cached one unchanged.
    pub fn apply_item(&mut self, key: &str, version: Version, value: &Value) {
        if let Some(leader_key) = LeaderKey::of_name(key) {
            self.apply_leader(leader_key, version, value);
        } else if key == ADMIN_SETTINGS_KEY {
            if let Some(settings) = self.read(key, value) {
                self.admin_settings = Some((version, settings));
            }
        } else if key == CATALOG_KEY {
            self.catalog = serde_json::from_value(value.clone()).ok();
            self.catalog_in_common_key = true;
        } else if key == GATED_CATALOG_KEY {
            // The value is null if the machine types are too large to be stored.
            self.catalog = serde_json::from_value(value.clone()).ok();
            self.catalog_in_gated_key = true;
        } else if let Some(node) = key.strip_prefix(WATERMARK_PREFIX) {
            if let Some(record) = self.read(key, value) {
                self.written_watermarks.insert(node.into(), record);
            }
        } else if let Some(id) = job_id_of(key) {
            if let Some(record) = self.read(key, value) {
                self.update_job(id, version, record);
            }
        }
    }

    fn apply_leader(&mut self, key: LeaderKey, version: Version, value: &Value) {
        match LeaderRecord::deserialize_from(value) {
            Some(record) => {
                let leader = StoredLeader { version, record };
                self.update_leader(key, version, Some(leader));
            }
            None => self.count_unreadable_record(key.name(), &"not a leader record"),
        }
    }

    fn read<T: DeserializeOwned>(&mut self, key: &str, value: &Value) -> Option<T> {
        serde_json::from_value(value.clone())
            .inspect_err(|error| self.count_unreadable_record(key, error))
            .ok()
    }

    /// Applies an event of the watch. Of deletions only those of a leader key and of the common key of the machine
    /// types matter.
    pub fn apply_event(&mut self, event: &Event<Value>) {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.apply_item(key, *version, value),
            Event::Delete { key, .. } if key == CATALOG_KEY => self.catalog_in_common_key = false,
            Event::Delete { key, version } => match LeaderKey::of_name(key) {
                Some(leader_key) => self.update_leader(leader_key, *version, None),
                None => log::debug!("deletion of watched key ignored key={key}"),
            },
        }
    }
}

/// Returns the job whose key this is, if it is a job's key.
fn job_id_of(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB_PREFIX)?.parse().ok()
}
