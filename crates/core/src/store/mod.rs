pub mod calls;
pub mod limits;
pub mod records;
pub mod transactions;
