//! Small types for names, epochs and versions: what can be mixed up has a type of its own.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::{fmt, str::FromStr, sync::Arc};

/// A text that is no valid id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a valid {1}")]
pub struct BadId(pub String, pub &'static str);

/// A job's id, chosen by its user: `wk-` and digits.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(Arc<str>);

impl JobId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The task of this job with the given index.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.clone(),
            index,
        }
    }
}

impl FromStr for JobId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let digits = text.strip_prefix("wk-").unwrap_or("");
        let valid = (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        if valid {
            Ok(Self(text.into()))
        } else {
            Err(BadId(text.chars().take(40).collect(), "job id"))
        }
    }
}

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let bad = || BadId(text.chars().take(40).collect(), "task id");
        let (job, index) = text.split_once('/').ok_or_else(bad)?;
        Ok(Self {
            job: job.parse().map_err(|_| bad())?,
            index: index.parse().map_err(|_| bad())?,
        })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

macro_rules! text_id {
    ($name:ident) => {
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<str>::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}
text_id!(JobId);
text_id!(TaskId);

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}
name_id!(
    /// A machine's name, given by the cloud.
    MachineId
);
name_id!(
    /// A machine type.
    TypeName
);
name_id!(
    /// A zone.
    Zone
);
name_id!(
    /// A team.
    Team
);
name_id!(
    /// A class of jobs.
    Class
);
name_id!(
    /// An image.
    Image
);
name_id!(
    /// A controller node.
    NodeName
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            bitcode::Encode, bitcode::Decode,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}
number_id!(
    /// The leader's epoch. It is the fencing token of its commands: an agent ignores those of a lower one.
    Epoch
);
number_id!(
    /// The attempt to run a task, which tells its starts apart. The tasks of a gang share it.
    Attempt
);
number_id!(
    /// The revision of a key's last change; 0 if the key does not exist.
    Version
);
number_id!(
    /// A lease of the state service.
    LeaseId
);
number_id!(
    /// One run of an agent's process, from its start to its end.
    Incarnation
);
number_id!(
    /// Orders an agent's messages within its incarnation.
    Seq
);
