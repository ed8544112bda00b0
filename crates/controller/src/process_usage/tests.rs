use super::*;

#[test]
fn proc_files_are_parsed() {
    let status = "Name:\trudderreel\nVmHWM:\t   12000 kB\nVmRSS:\t   10000 kB\n";
    assert_eq!(memory_mb(status, "VmRSS:"), Some(10.24));
    assert_eq!(memory_mb(status, "VmHWM:"), Some(12.288));
    let stat = "7 (a (b) c) S 1 7 7 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 93 0 1 1 1";
    assert_eq!(processor_s(stat), Some(3.0));
}

/// Missing or malformed values are no error.
#[test]
fn missing_values_are_null() {
    for text in [
        "",
        "VmRSS:",
        "VmRSS: many kB",
        "7 (a) S 1",
        "7 (a) S 1 7 7 0 -1 4 1 0 0 0 x y",
    ] {
        assert_eq!(memory_mb(text, "VmRSS:"), None, "{text}");
        assert_eq!(processor_s(text), None, "{text}");
    }
}
