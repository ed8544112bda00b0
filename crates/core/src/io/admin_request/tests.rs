use super::*;

#[test]
fn path_of_a_page_of_machines_is_parsed_back() {
    let after = AdminRequest::Machines(Some("vm-000200".into()));
    for request in [AdminRequest::Machines(None), after] {
        let path = request.path();
        let read = AdminRequest::of_path(&path).expect("a request");
        assert_eq!(read.path(), path);
    }
    assert!(AdminRequest::of_path("/admin/machines?after=").is_none());
    assert!(AdminRequest::of_path("/admin/machinesx").is_none());
}
