//! Calls to the cloud, and what was asked of it.

pub mod calls;
pub mod scale_out_requests;
