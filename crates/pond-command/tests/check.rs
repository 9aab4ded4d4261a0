//! Checks that `pondbay check` reports all errors of a file, each with its position.

mod support;

use std::fs;

use support::command;

/// Runs `pondbay check` on a file with the given text. Returns the findings without the file name.
fn check(name: &str, text: &str) -> Vec<String> {
    let path = std::env::temp_dir().join(format!("pondbay-check-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("writes");
    let (result, _) = command(&format!("check {}", path.display()));
    let _ = fs::remove_file(&path);
    let prefix = format!("{}:", path.display());
    match result {
        Ok(_) => Vec::new(),
        Err(findings) => findings.lines().map(|line| line.replace(&prefix, "")).collect(),
    }
}

#[test]
fn several_errors_are_reported_together_with_their_positions() {
    let findings = check(
        "three",
        "units:\n  - name: a\n    job: { run_seconds: soon }\n    size: { memory_mib: 0 }\n    \
         progam: x\n    program: x\n",
    );
    assert_eq!(
        findings,
        [
            "3:25: 'run_seconds' is 'soon'; write a whole number from 1 to 2678400",
            "4:25: 'memory_mib' is 0; write a whole number from 1 to 16777216",
            "5:5: unknown key 'progam'; did you mean 'program'?",
        ]
    );
}

#[test]
fn errors_have_their_position() {
    let valid = "role: entry\nname: e\ndata_centre: dc\nlisten: { callers: '127.0.0.1:1' }\n\
                control: [{ name: c, internal: '127.0.0.1:2', operator: '127.0.0.1:3' }]\n";
    assert_eq!(check("valid", valid), [""; 0]);
    let table = [
        ("twice", format!("{valid}name: f\n"), "6:1: duplicate key 'name'"),
        (
            "address",
            valid.replace("127.0.0.1:1", "here"),
            "4:20: 'callers' is 'here', not an address",
        ),
        ("missing", valid.replace("name: e\n", ""), "1:1: 'name' is missing"),
        (
            "list",
            valid.replace("control: [", "control: []\nx: ["),
            "1:1: 'control' is an empty list",
        ),
        ("name", valid.replace("name: e", "name: a b"), "2:7: 'a b' is not a valid name"),
        ("role", valid.replace("role: entry", "role: king"), "1:7: 'role' is 'king'"),
        (
            "frames",
            format!("{valid}limits: {{ frame_bytes: 65536 }}\n"),
            "6:9: a maximum-size body would",
        ),
        ("yaml", "role: [entry\n".to_owned(), "2:1: "),
        ("empty", String::new(), "1:1: the file is empty"),
        ("other", "hello: 1\n".to_owned(), "1:1: this is not a pondbay file"),
        ("alias", "role: &a entry\nname: *a\n".to_owned(), "2:7: aliases are not supported"),
    ];
    for (name, text, expected) in table {
        let findings = check(name, &text);
        assert!(findings.iter().any(|line| line.starts_with(expected)), "{name}: {findings:?}");
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
        let findings = check("selector", &unit(selector));
        assert!(findings.iter().any(|line| line.starts_with(expected)), "{selector}: {findings:?}");
    }
    assert_eq!(check("selector", &unit("    a=b|c,!d,e\n")), [""; 0]);
}

#[test]
fn unreadable_file_exits_with_status_2() {
    let error = pond_command::run(
        &["check".to_owned(), "no-such-file".to_owned()],
        &mut pond_command::Output::new(&mut Vec::new()),
    )
    .expect_err("there is no such file");
    assert_eq!(error.status(), 2);
}
