//! Many pieces in few objects, for who holds none.
//!
//! A file of 16,000 customers has some 4,400 pieces. Read one by one within the
//! budget of calls they take minutes, in which a zone whose instances were all
//! replaced takes no traffic. So an operator's apply packs all pieces into a few
//! objects now and then. These are copies and nothing refers to them: what they
//! hold is checked piece by piece, and what they lack is read by itself.

use std::{collections::BTreeMap, rc::Rc};

use verbenaspool_coordination::{
    keys,
    piece::{Hash, Split},
};
use verbenaspool_protocol::peer::Piece;
use verbenaspool_state::{name::Name, version::Version};

use crate::platform::{Error, Store, When};

/// Files of fewer pieces aren't packed: they are read one by one in no time.
const MIN_PIECES: usize = 256;
/// Versions between two packings. The pieces that changed since are read one by
/// one, some 300 at most.
const VERSIONS_PER_PACK: u64 = 64;
/// Bytes of pieces in one bundle; with their hashes and quotes escaped it stays
/// below a megabyte.
const MAX_BUNDLE_BYTES: usize = 700_000;
/// Missing pieces from which the bundles are worth their reading: more than one
/// level of the tree shows below nodes that are held.
pub const MIN_MISSING_PIECES: usize = 16;

/// Packs a file's pieces, if it is time to.
///
/// # Errors
/// When the platform doesn't take them; the next time it may.
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

/// Cuts pieces into bundles.
fn split_into_bundles(pieces: &BTreeMap<Hash, Rc<[u8]>>) -> Vec<Vec<Piece>> {
    let mut bundles = vec![Vec::new()];
    let mut bytes = 0;
    for (hash, content) in pieces {
        let Ok(text) = std::str::from_utf8(content) else {
            continue;
        };
        // Every quote of a piece is escaped inside the bundle.
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

/// Reads all bundles of a firm, and hands their pieces on.
///
/// # Errors
/// When the platform can't be read.
pub async fn read(
    store: &dyn Store,
    firm: &Name,
    mut take: impl FnMut(&Piece),
) -> Result<(), Error> {
    for entry in store.list(&keys::bundles(firm)).await? {
        let Some(object) = store.get(&entry.key).await? else {
            continue;
        };
        // A bundle that can't be read costs calls and nothing else.
        let pieces: Vec<Piece> = serde_json::from_slice(&object.value).unwrap_or_default();
        pieces.iter().for_each(&mut take);
    }
    Ok(())
}
