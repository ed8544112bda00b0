//! Newtypes for names, ids, epochs and versions, so that the compiler keeps them apart.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::{fmt, str::FromStr, sync::Arc};

/// The error for a text that is not a valid id: the text, which may be truncated, and the kind of id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a valid {1}")]
pub struct BadId(pub String, pub &'static str);

/// A job's id, chosen by its user: `wk-` and 1 to 20 digits.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(Arc<str>);

impl JobId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the id of this job's task with the given index.
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

/// The id of a task of a job, written as `JOB/INDEX`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The task's job.
    pub job: JobId,
    /// The task's index in the job, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let error = || BadId(text.chars().take(40).collect(), "task id");
        let (job, index) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            job: job.parse().map_err(|_| error())?,
            index: index.parse().map_err(|_| error())?,
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
            /// Returns the name as text.
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
    /// Name of a machine, assigned by the cloud.
    MachineId
);
name_id!(
    /// Name of a machine type.
    TypeName
);
name_id!(
    /// Name of a zone.
    Zone
);
name_id!(
    /// Name of a team.
    Team
);
name_id!(
    /// Name of a class of jobs.
    Class
);
name_id!(
    /// Name of an image.
    Image
);
name_id!(
    /// Name of a controller node.
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
    /// Number of a leadership: the highest fencing token that is reserved for it. Each leader raises it in the store.
    Epoch
);
number_id!(
    /// Fencing token of commands and answers for an agent. An agent that has seen a token refuses lower ones.
    FencingToken
);

impl Epoch {
    /// Returns the highest fencing token of the epoch, which an agent accepts whatever it has seen of the epoch.
    pub fn highest_token(self) -> FencingToken {
        FencingToken(self.0)
    }
}

impl FencingToken {
    /// Returns the lowest epoch that the token may belong to.
    pub fn lowest_epoch(self) -> Epoch {
        Epoch(self.0)
    }

    /// Returns the next higher token.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number_id!(
    /// Number of an attempt to run a task, which distinguishes its starts. The tasks of a gang share one number.
    Attempt
);
number_id!(
    /// The revision of a key's last change; 0 if the key does not exist.
    Version
);
number_id!(
    /// Id of a lease of the state service.
    LeaseId
);
number_id!(
    /// Incarnation of an agent: one run of its process, from its start to its end.
    Incarnation
);
number_id!(
    /// Sequence number, which orders an agent's messages within its incarnation.
    Seq
);
