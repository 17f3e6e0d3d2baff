"""Check import rules: modules only, and one direction between packages."""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src"
PRODUCT = "agateshelf"
STAND_INS = "agateshelf_standins"
CORE = "agateshelf.core"
CORE_ALLOWED = ("agateshelf.core", "agateshelf.const", "agateshelf.exceptions")
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


def imported(tree: ast.AST) -> list[tuple[int, str, str | None]]:
    """Return line, module and (for from-imports) name of every import."""
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


def fault_of(importer: str, module: str, name: str | None) -> str | None:
    """Return what is wrong with one import, or None."""
    ours = module.split(".", maxsplit=1)[0] in (PRODUCT, STAND_INS)
    full = f"{module}.{name}" if name else module
    if name and ours and not is_module(full):
        return f"imports the name {name}, not a module"
    if importer.startswith(f"{PRODUCT}.") and full.startswith(STAND_INS):
        return "the product imports a stand-in"
    if not importer.startswith(CORE):
        return None
    if module.split(".", maxsplit=1)[0] in CORE_FORBIDDEN:
        return f"the core imports {module}"
    if ours and not full.startswith(CORE_ALLOWED):
        return f"the core imports {full} of the shell"
    return None


def main() -> int:
    """Print every breach and return 1 if there is any."""
    faults = 0
    for path in sorted(SOURCE.rglob("*.py")):
        importer = module_name(path)
        for line, module, name in imported(ast.parse(path.read_text())):
            fault = fault_of(importer, module, name)
            if fault:
                faults += 1
                print(f"{path.relative_to(ROOT)}:{line}: {fault}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
