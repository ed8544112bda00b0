pub mod failure_detection;
pub mod fault_attribution;
pub mod reconciliation;
pub mod report_forwarding;
