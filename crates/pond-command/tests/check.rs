//! `pondbay check` reports everything that is wrong, each finding with its place.

mod support;

use std::fs;

use support::command;

/// Checks a text as a file; what is said of it, without the file's name.
fn check(name: &str, text: &str) -> Vec<String> {
    let path = std::env::temp_dir().join(format!("pondbay-check-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("writes");
    let (result, _) = command(&format!("check {}", path.display()));
    let _ = fs::remove_file(&path);
    let prefix = format!("{}:", path.display());
    match result {
        Ok(_) => Vec::new(),
        Err(said) => said.lines().map(|line| line.replace(&prefix, "")).collect(),
    }
}

#[test]
fn three_different_mistakes_are_reported_together_with_their_lines() {
    let said = check(
        "three",
        "units:\n  - name: a\n    job: { run_seconds: soon }\n    size: { memory_mib: 0 }\n    \
         progam: x\n    program: x\n",
    );
    assert_eq!(
        said,
        [
            "3:25: 'run_seconds' is 'soon'; write a whole number from 1 to 2678400",
            "4:25: 'memory_mib' is 0; write a whole number from 1 to 16777216",
            "5:5: unknown key 'progam'; did you mean 'program'?",
        ]
    );
}

#[test]
fn mistakes_have_their_place() {
    let good = "role: entry\nname: e\ndata_centre: dc\nlisten: { callers: '127.0.0.1:1' }\n\
                control: [{ name: c, internal: '127.0.0.1:2', operator: '127.0.0.1:3' }]\n";
    assert_eq!(check("good", good), [""; 0]);
    let table = [
        ("twice", format!("{good}name: f\n"), "6:1: duplicate key 'name'"),
        (
            "address",
            good.replace("127.0.0.1:1", "here"),
            "4:20: 'callers' is 'here', not an address",
        ),
        ("missing", good.replace("name: e\n", ""), "1:1: 'name' is missing"),
        (
            "list",
            good.replace("control: [", "control: []\nx: ["),
            "1:1: 'control' is an empty list",
        ),
        ("name", good.replace("name: e", "name: a b"), "2:7: 'a b' is not a valid name"),
        ("role", good.replace("role: entry", "role: king"), "1:7: 'role' is 'king'"),
        (
            "frames",
            format!("{good}limits: {{ frame_bytes: 65536 }}\n"),
            "6:9: a maximum-size body would",
        ),
        ("yaml", "role: [entry\n".to_owned(), "2:1: "),
        ("empty", String::new(), "1:1: the file is empty"),
        ("other", "hello: 1\n".to_owned(), "1:1: this is not a pondbay file"),
        ("alias", "role: &a entry\nname: *a\n".to_owned(), "2:7: aliases are not supported"),
    ];
    for (name, text, expected) in table {
        let said = check(name, &text);
        assert!(said.iter().any(|line| line.starts_with(expected)), "{name}: {said:?}");
    }
}

#[test]
fn selectors_are_checked() {
    let unit = |selector: &str| {
        format!(
            "units:\n- name: a\n  job: {{ run_seconds: 1 }}\n  size: {{ memory_mib: 1 }}\n  \
             program: x\n  selector:\n{selector}"
        )
    };
    let table = [
        ("    - { key: a, operator: In }\n", "7:7: operator In does not match its values"),
        (
            "    - { key: a, operator: Exists, values: [b] }\n",
            "7:7: operator Exists does not match",
        ),
        ("    - { key: a, operator: Near }\n", "7:27: 'operator' is 'Near'"),
        ("    =x\n", "7:5: '=x' is not key=value"),
    ];
    for (selector, expected) in table {
        let said = check("selector", &unit(selector));
        assert!(said.iter().any(|line| line.starts_with(expected)), "{selector}: {said:?}");
    }
    assert_eq!(check("selector", &unit("    a=b|c,!d,e\n")), [""; 0]);
}

#[test]
fn a_bad_file_exits_with_status_2() {
    let error = pond_command::run(
        &["check".to_owned(), "no-such-file".to_owned()],
        &mut pond_command::Out::new(&mut Vec::new()),
    )
    .expect_err("there is no such file");
    assert_eq!(error.status(), 2);
}
