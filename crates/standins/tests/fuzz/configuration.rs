//! Mutated configuration documents.

use jasminebend_base::Configuration;

use crate::mutation::{
    mutate_input,
    with_fixed_seeds, //
};

const DOCUMENT: &str = "\
version: 3
domains:
  - name: north
    region: coast
    state: in
  - name: south
    region: coast
    state: out
classes:
  - name: cart
    kind: service
    target:
      answer_within: 80ms
    service: storefront
    route:
      path_prefix: /cart
  - name: sync
    kind: batch
    target:
      finish_within: 8h
teams:
  - name: sales
    limit:
      cpu_millis: 64000
      memory_mib: 250000
";

#[test]
fn the_document_under_test_is_valid() {
    let document: Configuration = serde_saphyr::from_str(DOCUMENT).unwrap();
    assert_eq!(document.validate(), Ok(()));
    assert_eq!((document.domains.len(), document.classes.len()), (2, 2));
}

#[test]
fn a_document_is_rejected_or_survives_a_round_trip() {
    let valid = [DOCUMENT.as_bytes().to_vec()];
    let mut accepted = 0;
    with_fixed_seeds(|source| {
        let bytes = mutate_input(source, &valid)?;
        let text = String::from_utf8_lossy(&bytes);
        let Ok(document) = serde_saphyr::from_str::<Configuration>(&text) else {
            return Ok(());
        };
        accepted += 1;
        // The check of any document terminates, and the stored form of the document is read back unchanged.
        let checked = document.validate();
        let kept = serde_json::to_vec(&document).unwrap();
        let again: Configuration = serde_json::from_slice(&kept).unwrap();
        assert_eq!(again.validate(), checked, "{text}");
        assert_eq!(again, document, "{text}");
        Ok(())
    });
    assert!(accepted > 0, "no mutation was accepted");
}
