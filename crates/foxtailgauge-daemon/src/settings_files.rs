//! Checks of the files and directories named in the settings.

use ini::Ini;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::path::Path;

/// Creates a directory if it does not exist and checks that it is readable and writable. A disk
/// without space passes: the setting is right, and the replica waits for space.
pub(crate) fn check_dir(dir: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::read_dir(dir)?;
    let probe = dir.join(".probe");
    let written = std::fs::write(&probe, b"probe");
    match written {
        Err(error) if error.kind() == ErrorKind::StorageFull => {
            // Without space the file may not even have been created.
            let _ = std::fs::remove_file(&probe);
            Ok(())
        }
        Err(error) => Err(error),
        Ok(()) => std::fs::remove_file(&probe),
    }
}

/// Reads the SHA-256 hashes of the admin tokens by team; the error describes the fault in the file.
pub(crate) fn read_tokens(file: &str) -> Result<BTreeMap<String, Vec<u8>>, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let ini = Ini::load_from_str_noescape(&text).map_err(|error| error.to_string())?;
    let section = ini.section(Some("tokens")).ok_or("no section [tokens]")?;
    let mut tokens = BTreeMap::new();
    for (team, hex) in section.iter() {
        let hash = parse_hex(hex).filter(|hash| hash.len() == 32);
        let hash = hash.ok_or_else(|| format!("`{team}` has no SHA-256 in hex"))?;
        tokens.insert(team.to_owned(), hash);
    }
    Ok(tokens)
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let text = text.trim();
    let digit_pairs = (0..text.len()).step_by(2);
    digit_pairs
        .map(|offset| u8::from_str_radix(text.get(offset..offset + 2)?, 16).ok())
        .collect()
}
