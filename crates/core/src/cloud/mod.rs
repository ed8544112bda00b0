//! Calls to the cloud within its rate limit ([`calls`]), and the scale-out requests that a leader has made
//! ([`scale_out_requests`]). Which machines are wanted is decided in `capacity`.

pub mod calls;
pub mod scale_out_requests;
