//! Tests of fingerprints: equality, and parsing of their text form.

use sardinepick_lib::fleet::fingerprint::Fingerprint;

#[test]
fn of_parts_shifted_differs() {
    let whole = Fingerprint::of(&[b"/notes/", b"a brief"]);
    assert_eq!(whole, Fingerprint::of(&[b"/notes/", b"a brief"]));
    assert_ne!(whole, Fingerprint::of(&[b"/notes/a", b" brief"]));
    assert_ne!(whole, Fingerprint::of(&[b"/notes/", b"a brief", b""]));
}

#[test]
fn from_str_written_read_again() {
    let one = Fingerprint::of(&[b"a brief"]);
    assert_eq!(one.to_string().parse(), Ok(one));
    assert_eq!(Fingerprint::try_from(one.as_bytes().as_slice()), Ok(one));
    for wrong in ["", "12", "zz", &"+1".repeat(16), &"é".repeat(16), &"0".repeat(33)] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}
