"""Check that every test that docs/PROOFS.md names exists."""

import ast
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"
TEST_NAME = re.compile(r"`(tests/[\w/]+\.py)::(\w+)(?:::(\w+))?`")
BENCH_NAME = re.compile(r"`(bench/\w+\.py)`")


def defined_names(path: pathlib.Path) -> set[str]:
    """Return the names of functions and classes of a file."""
    tree = ast.parse(path.read_text())
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    names = {n.name for n in ast.walk(tree) if isinstance(n, kinds)}
    for node in tree.body:
        if isinstance(node, ast.Assign):
            names.update(t.id for t in node.targets if isinstance(t, ast.Name))
    return names


def faults(text: str) -> list[str]:
    """Return what the page names that does not exist."""
    found = []
    for file, *names in TEST_NAME.findall(text):
        path = ROOT / file
        if not path.exists():
            found.append(f"{file}: no such file")
            continue
        defined = defined_names(path)
        found.extend(
            f"{file}::{name}: no such test"
            for name in names
            if name and name not in defined
        )
    found.extend(
        f"{file}: no such file"
        for file in BENCH_NAME.findall(text)
        if not (ROOT / file).exists()
    )
    return found


def main() -> int:
    """Print every fault and return 1 if there is any."""
    text = PAGE.read_text()
    if not TEST_NAME.search(text):
        print(f"{PAGE.name} names no test")
        return 1
    found = faults(text)
    for fault in found:
        print(f"{PAGE.name}: {fault}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
