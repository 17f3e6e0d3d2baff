"""Checks that the tests and benches named in docs/PROOFS.md exist.

A renamed or deleted test would otherwise leave a claim without its evidence.
"""

import ast
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"
TEST_NAME = re.compile(r"`(tests/[\w/]+\.py)::(\w+)(?:::(\w+))?`")
BENCH_NAME = re.compile(r"`(bench/\w+\.py)`")


def defined_names(path: pathlib.Path) -> set[str]:
    """Return the functions, classes and global variables of a file."""
    tree = ast.parse(path.read_text())
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    names = {n.name for n in ast.walk(tree) if isinstance(n, kinds)}
    for node in tree.body:
        if isinstance(node, ast.Assign):
            names.update(t.id for t in node.targets if isinstance(t, ast.Name))
    return names


def find_faults(text: str) -> list[str]:
    """Return a message for each file or test named that does not exist."""
    faults = []
    for file, *names in TEST_NAME.findall(text):
        path = ROOT / file
        if not path.exists():
            faults.append(f"{file}: no such file")
            continue
        defined = defined_names(path)
        faults.extend(
            f"{file}::{name}: no such test"
            for name in names
            if name and name not in defined
        )
    faults.extend(
        f"{file}: no such file"
        for file in BENCH_NAME.findall(text)
        if not (ROOT / file).exists()
    )
    return faults


def main() -> int:
    """Print all faults; return 1 if there are any."""
    text = PAGE.read_text()
    if not TEST_NAME.search(text):
        print(f"{PAGE.name} does not name any test")
        return 1
    faults = find_faults(text)
    for fault in faults:
        print(f"{PAGE.name}: {fault}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
