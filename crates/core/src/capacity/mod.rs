//! Capacity: how many machines of which kind the fleet should have.
//!
//! At the end of each cycle, what found no room is packed into the machines that are coming, and then into the
//! cheapest offers of the cloud; what that comes to is requested. Machines that are no longer needed are returned.
//!
//! * [`demand`]: which tasks want room, and where it is planned for them.
//! * [`bin_packing`]: packing tasks of a job into machines that are alike.
//! * [`offers`]: what the cloud offers, at what price, and the cheapest for a job.
//! * [`scale_out`]: machines that are coming, and requests for more.
//! * [`scale_in`]: which machines are returned, and when.
//! * [`machine_list`]: what the cloud's list of machines shows.
//! * [`anticipation`]: jobs that will be ready by the time a machine could be up.
//!
//! In: the leader's jobs and machines, the snapshot of the cycle, the catalog of machine types. Out: requests in
//! [`ScaleOutRequests`](crate::cloud::scale_out_requests::ScaleOutRequests), and machines marked to be retired; the
//! calls themselves are made by the node's handlers. Invariant: no more machines are requested for a team than its
//! limits let it use.

pub mod anticipation;
mod bin_packing;
pub mod demand;
pub mod machine_list;
mod offers;
pub mod scale_in;
mod scale_out;
