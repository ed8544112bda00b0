pub mod anticipation;
pub mod demand;
pub mod scale_in;
