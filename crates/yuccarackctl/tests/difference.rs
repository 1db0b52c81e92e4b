//! Field changes between two JSON values.

use quickcheck::quickcheck;
use serde_json::{Value, json};
use yuccarackctl::difference::field_changes;

fn formatted_changes(old: &Value, new: &Value) -> Vec<String> {
    field_changes(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn field_changes_have_the_path_and_both_values() {
    let old = json!({"a": 1, "b": [{"c": true}], "d": null});
    let new = json!({"a": 2, "b": [{"c": true}, 5], "e": "x"});
    let expected = ["a: 1 -> 2", "b[1]: added 5", "d: removed null", "e: added \"x\""];
    assert_eq!(formatted_changes(&old, &new), expected);
}

quickcheck! {
    fn each_differing_list_item_is_one_change(old: Vec<u8>, new: Vec<u8>) -> bool {
        let differing = (0..old.len().max(new.len()))
            .filter(|index| old.get(*index) != new.get(*index))
            .count();
        field_changes(&json!(old), &json!(new)).len() == differing
    }
}
