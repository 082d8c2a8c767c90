//! Checks that no source file selects another event loop driver than epoll.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Strings that select another driver or event loop, split so that this file doesn't
/// contain them.
const FORBIDDEN: [(&str, &str); 6] = [
    ("Fusion", "Driver"),
    ("Fusion", "Runtime"),
    ("IoUring", "Driver"),
    ("monoio::", "main"),
    ("monoio::", "start"),
    ("tokio::", "runtime"),
];

/// Collects all Rust files of the packages.
fn collect_sources(directory: &Path, sources: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|end| end == "rs") {
            sources.push(path);
        }
    }
}

#[test]
fn no_source_file_chooses_another_driver() {
    // Guards against processes that fail to start on instances that forbid io_uring. This
    // happened when one place left the choice of the driver to monoio.
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut sources = Vec::new();
    collect_sources(root, &mut sources);
    assert!(sources.len() > 50, "{} source files", sources.len());
    let mut builder_uses = 0;
    for path in sources {
        let text = fs::read_to_string(&path).unwrap();
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        for (i, line) in code.enumerate() {
            for (start, end) in FORBIDDEN {
                let word = format!("{start}{end}");
                assert!(!line.contains(&word), "{}: {i}: {word}", path.display());
            }
            builder_uses += usize::from(line.contains(&format!("{}::<", "RuntimeBuilder")));
        }
    }
    assert_eq!(
        builder_uses, 1,
        "the event loop must be built in exactly one place"
    );
}

#[test]
fn the_driver_in_use_is_the_legacy_one() {
    let uses_io_uring = verbenaspool_transport::runtime::run(async {
        // The links of io_uring descriptors contain this name.
        let open = fs::read_dir("/proc/self/fd").unwrap();
        open.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .any(|link| link.to_string_lossy().contains("io_uring"))
    });
    assert!(!uses_io_uring.unwrap());
}
