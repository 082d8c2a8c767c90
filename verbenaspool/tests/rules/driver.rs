//! The loop's driver is epoll's, in every source file.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Strings that choose another driver or another loop, cut so that this file
/// doesn't hold them.
const REFUSED: [(&str, &str); 6] = [
    ("Fusion", "Driver"),
    ("Fusion", "Runtime"),
    ("IoUring", "Driver"),
    ("monoio::", "main"),
    ("monoio::", "start"),
    ("tokio::", "runtime"),
];

/// All Rust files of the packages.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_source_file_chooses_another_driver() {
    // On an instance that forbids io_uring the process ends at its start: one
    // place left the choice of the driver to monoio.
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut found = Vec::new();
    sources(root, &mut found);
    assert!(found.len() > 50, "{} source files", found.len());
    let mut named = 0;
    for path in found {
        let text = fs::read_to_string(&path).unwrap();
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        for (i, line) in code.enumerate() {
            for (start, end) in REFUSED {
                let word = format!("{start}{end}");
                assert!(!line.contains(&word), "{}: {i}: {word}", path.display());
            }
            named += usize::from(line.contains(&format!("{}::<", "RuntimeBuilder")));
        }
    }
    assert_eq!(named, 1, "the loop is built in one place");
}

#[test]
fn the_driver_in_use_is_the_legacy_one() {
    let uses_uring = verbenaspool_transport::runtime::run(async {
        // io_uring's descriptors show in the process's list by this name.
        let open = fs::read_dir("/proc/self/fd").unwrap();
        open.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .any(|link| link.to_string_lossy().contains("io_uring"))
    });
    assert!(!uses_uring.unwrap());
}
