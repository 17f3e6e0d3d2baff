"""Runs the test suite without the cases listed in KNOWN-RED.txt.

The cases that are deselected are printed, so that they stay visible in CI.
"""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
EXIT_NO_TESTS = 5


def known_red_tests(text: str) -> list[str]:
    """Return the pytest node identifiers in the text of KNOWN-RED.txt."""
    lines = [line.strip() for line in text.splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    names = [entry.split("|")[0].strip() for entry in entries]
    return [name for name in names if name.startswith("tests/")]


def main() -> int:
    """Run pytest; return its exit status, a failure also if no test ran."""
    known_red = known_red_tests(KNOWN_RED.read_text())
    for name in known_red:
        print(f"known red, not run: {name}")
    arguments = [f"--deselect={name}" for name in known_red]
    status = pytest.main([*sys.argv[1:], *arguments])
    if status == EXIT_NO_TESTS:
        print("no tests ran")
    return int(status)


if __name__ == "__main__":
    sys.exit(main())
