//! Capacity: how many machines of which type the fleet should have.
//!
//! At the end of each scheduling cycle, tasks that found no room are packed into upcoming machines, and then into new
//! machines of the cheapest offers of the cloud, which are requested. Machines that are no longer needed are returned.
//!
//! * [`demand`]: which tasks need room, and on which machines it is planned.
//! * [`bin_packing`]: packing tasks of a job into identical machines.
//! * [`offers`]: the offers of the cloud, their prices, and the cheapest offer for a job.
//! * [`scale_out`]: upcoming machines, and requests for more.
//! * [`scale_in`]: which machines are returned, and when.
//! * [`machine_list`]: application of the cloud's machine list to the fleet.
//! * [`anticipation`]: jobs that will be ready by the time a machine could be up.
//!
//! The input is the leader's jobs and machines, the snapshot of the cycle and the catalog of machine types. The output
//! is requests in [`ScaleOutRequests`](crate::cloud::scale_out_requests::ScaleOutRequests) and machines marked as
//! retired; the node's handlers make the calls. Invariant: no more machines are requested for a team than its limits
//! let it use.

pub mod anticipation;
mod bin_packing;
pub mod demand;
pub mod machine_list;
mod offers;
pub mod scale_in;
mod scale_out;
