//! Bundles: many pieces of a file in few objects, for instances that start without any.
//!
//! A file of 16,000 customers has some 4,400 pieces. Reading them one by one within the
//! call budget takes minutes, during which a zone whose instances were all replaced
//! serves no traffic. From time to time, applying a file therefore also packs all its
//! pieces into a few objects. These are copies that nothing refers to: each piece in them
//! is verified by its hash, and pieces missing from them are read one by one.

use std::{collections::BTreeMap, rc::Rc};

use verbenaspool_coordination::{
    keys,
    piece::{Hash, Split},
};
use verbenaspool_protocol::peer::Piece;
use verbenaspool_state::{name::Name, version::Version};

use crate::platform::{Error, Store, When};

/// Files of fewer pieces aren't packed, since reading those one by one is fast enough.
const MIN_PIECES: usize = 256;
/// Number of versions between two packings. The pieces that changed since the last one,
/// about 300 at most, are read one by one.
const VERSIONS_PER_PACK: u64 = 64;
/// Maximum size of the pieces in one bundle, with their hashes and escaped quotes. It
/// keeps a bundle below the platform's limit of 1 MB.
const MAX_BUNDLE_BYTES: usize = 700_000;
/// Number of missing pieces from which the bundles are read: the number of children of a
/// tree node. Missing pieces are found one level at a time, so that an instance without any
/// pieces reaches it near the root, while a few changes leave fewer missing.
pub const MIN_MISSING_PIECES: usize = 16;

/// Writes a file's pieces as bundles if the version is due for it.
///
/// # Errors
/// When a call to the platform fails. A later version packs again.
pub async fn pack(
    store: &dyn Store,
    firm: &Name,
    version: Version,
    split: &Split,
) -> Result<(), Error> {
    if split.pieces.len() < MIN_PIECES {
        return Ok(());
    }
    let prefix = keys::bundles(firm);
    let due = version.0.is_multiple_of(VERSIONS_PER_PACK) || store.list(&prefix).await?.is_empty();
    if !due {
        return Ok(());
    }
    for (number, bundle) in split_into_bundles(&split.pieces).into_iter().enumerate() {
        let text = serde_json::to_vec(&bundle).unwrap_or_default();
        let key = format!("{prefix}{number}");
        store.put(&key, text.into(), When::Always).await?;
    }
    Ok(())
}

/// Distributes pieces over bundles of limited size.
fn split_into_bundles(pieces: &BTreeMap<Hash, Rc<[u8]>>) -> Vec<Vec<Piece>> {
    let mut bundles = vec![Vec::new()];
    let mut bytes = 0;
    for (hash, content) in pieces {
        let Ok(text) = std::str::from_utf8(content) else {
            continue;
        };
        // Every quote in a piece takes an escape character inside the bundle.
        let size = text.len() + text.matches('"').count() + 64;
        if bytes + size > MAX_BUNDLE_BYTES {
            bundles.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(bundle) = bundles.last_mut() {
            bundle.push(Piece {
                hash: *hash,
                text: text.to_owned(),
            });
        }
    }
    bundles
}

/// Reads all bundles of a firm and passes each piece to `take`.
///
/// # Errors
/// When a call to the platform fails.
pub async fn read(
    store: &dyn Store,
    firm: &Name,
    mut take: impl FnMut(&Piece),
) -> Result<(), Error> {
    for entry in store.list(&keys::bundles(firm)).await? {
        let Some(object) = store.get(&entry.key).await? else {
            continue;
        };
        // An invalid bundle is skipped; its pieces are read one by one.
        let pieces: Vec<Piece> = serde_json::from_slice(&object.value).unwrap_or_default();
        pieces.iter().for_each(&mut take);
    }
    Ok(())
}
