//! The tests of the review's cases. Usage: lab CASE ROOT RECORD; TROUBLE=0 leaves out the disruption.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

#![allow(dead_code)]

mod cases;
mod http;
mod json;
mod lab;
mod store;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = args.as_slice() else {
        eprintln!("usage: lab CASE ROOT RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let (root, record) = (PathBuf::from(root), PathBuf::from(record));
    let code = std::panic::catch_unwind(|| cases::run(case, trouble, &root, &record)).unwrap_or(2);
    lab::end_processes();
    std::process::exit(code);
}
