//! The leader's communication with the cloud: a queue of calls within the rate limit ([`calls`]) and the open scale-out
//! requests ([`scale_out_requests`]). `capacity` decides which machines are wanted.

pub mod calls;
pub mod scale_out_requests;
