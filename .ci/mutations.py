#!/usr/bin/env python3
"""Breaks one rule after the other in a copy of the tree and shows that a test notices.

Usage: .ci/mutations.py [WORD ...]   only the mutations whose name holds one of the words

Each mutation is a text that must stand in a file exactly once, what replaces it, and the package
whose tests must then fail. The list stands in docs/MUTATIONS.md too. Not part of .ci/run, since
it builds the tree once for each mutation.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIST = ROOT / ".ci" / "mutations.txt"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_list():
    """The mutations: name, package, file, old text, new text."""
    for block in LIST.read_text().split("\n=== ")[1:]:
        head, body = block.split("\n", 1)
        name, package, file = [word.strip() for word in head.split("|")]
        old, new = (body + "\n").split("\n--->\n", 1)
        yield name, package, file, old, new.rstrip("\n")


def passed_over():
    """Arguments that leave out the tests known to fail: they would notice anything."""
    names = [line.split(",")[0] for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return ["--", "--exact", *(f"--skip={name}" for name in names)] if names else []


def main():
    wanted = sys.argv[1:] or [""]
    copy = pathlib.Path(tempfile.mkdtemp(prefix="pondbay-mutations-"))
    for name in ("Cargo.toml", "Cargo.lock", "src", "crates", "platform", "tests", "examples", "docs", "deploy"):
        source = ROOT / name
        (shutil.copytree if source.is_dir() else shutil.copy)(source, copy / name)
    missed = 0
    for name, package, file, old, new in read_list():
        if not any(word in name for word in wanted):
            continue
        path = copy / file
        text = path.read_text()
        if text.count(old) != 1:
            print(f"{name}: its text stands {text.count(old)} times in {file}")
            missed += 1
            continue
        path.write_text(text.replace(old, new))
        run = subprocess.run(
            ["cargo", "test", "-q", "-p", package, *passed_over()],
            cwd=copy, capture_output=True, text=True, timeout=900, check=False,
        )
        path.write_text(text)
        built = "error: could not compile" not in run.stderr
        noticed = run.returncode != 0 and built
        failed = [line.split()[1] for line in run.stdout.splitlines() if line.startswith("test ") and line.endswith("FAILED")]
        failed += [line.strip() for line in run.stdout.splitlines() if line.startswith("    ") and "::" not in line and " " not in line.strip()]
        print(f"{name}: {'noticed by ' + ', '.join(sorted(set(failed))[:4]) if noticed else 'NOT NOTICED' if built else 'DOES NOT BUILD'}", flush=True)
        missed += not noticed
    shutil.rmtree(copy)
    return 1 if missed else 0


sys.exit(main())
