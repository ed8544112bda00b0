pub mod admin;
pub mod admission;
pub mod cancellation_replication;
pub mod read_confirmation;
pub mod user_requests;
