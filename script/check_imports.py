"""Checks the import rules of the sources.

Only modules are imported, not names from them. The product does not import the
stand-ins. The core imports neither other packages of the product nor libraries
for I/O, time, logging or validation; this keeps it deterministic, so that tests
and benches can run it in virtual time.
"""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src"
PRODUCT = "agateshelf"
STAND_INS = "agateshelf_standins"
CORE = "agateshelf.core"
CORE_ALLOWED = (
    "agateshelf.core",
    "agateshelf.const",
    "agateshelf.decoding",
    "agateshelf.exceptions",
)
CORE_FORBIDDEN = frozenset(
    {"curio", "h11", "socket", "time", "zmq", "logbook", "statsd", "pydantic"}
)


def module_name(path: pathlib.Path) -> str:
    """Return the dotted name of a source file."""
    parts = path.relative_to(SOURCE).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def is_module(name: str) -> bool:
    """Return whether a dotted name is a module or package of this project."""
    base = SOURCE.joinpath(*name.split("."))
    return base.with_suffix(".py").exists() or base.is_dir()


def find_imports(tree: ast.AST) -> list[tuple[int, str, str | None]]:
    """Return line, module and, for from-imports, name of every import."""
    found: list[tuple[int, str, str | None]] = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found.extend(
                (node.lineno, alias.name, None) for alias in node.names
            )
        if isinstance(node, ast.ImportFrom):
            base = node.module or ""
            found.extend((node.lineno, base, a.name) for a in node.names)
    return found


def violation_of(importer: str, module: str, name: str | None) -> str | None:
    """Return the rule that an import violates, or None."""
    is_internal = module.split(".", maxsplit=1)[0] in (PRODUCT, STAND_INS)
    full_name = f"{module}.{name}" if name else module
    if name and is_internal and not is_module(full_name):
        return f"imports the name {name} instead of a module"
    if importer.startswith(f"{PRODUCT}.") and full_name.startswith(STAND_INS):
        return "the product must not import a stand-in"
    if not importer.startswith(CORE):
        return None
    if module.split(".", maxsplit=1)[0] in CORE_FORBIDDEN:
        return f"the core must not import {module}"
    if is_internal and not full_name.startswith(CORE_ALLOWED):
        return f"the core must not import {full_name} from outside the core"
    return None


def main() -> int:
    """Print all violations; return 1 if there are any."""
    violations = 0
    for path in sorted(SOURCE.rglob("*.py")):
        importer = module_name(path)
        for line, module, name in find_imports(ast.parse(path.read_text())):
            violation = violation_of(importer, module, name)
            if violation:
                violations += 1
                print(f"{path.relative_to(ROOT)}:{line}: {violation}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
