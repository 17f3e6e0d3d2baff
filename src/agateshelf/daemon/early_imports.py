"""Makes the imports of an entry that starts cheaper.

After a loss of power, imports take most of the time until an entry answers
again: 0.4 s of processor time, at a share of 0.43 of a core nearly 1 s.
"""

from collections import abc
import gc
import importlib
import importlib.machinery
import sys
import types
from typing import Any
from typing import Final

_PACKAGE: Final = "agateshelf."
# Modules that libraries import and that the first request doesn't need.
_DEFERRED: Final = frozenset(
    {
        "ast",
        "asyncio",
        "dis",
        "gzip",
        "hmac",
        "ipaddress",
        "json",
        "locale",
        "pickle",
        "platform",
        "tempfile",
        "tokenize",
        "uuid",
    }
)
# Submodules all of whose public names curio imports into its own, and of which
# an entry uses none. They import `multiprocessing.connection`, which is large.
_OMITTED: Final = frozenset({"curio.channel"})


def prepare() -> None:
    """Prepare the imports that follow; must be called before them.

    Garbage collection is off until `main` sets it up: what is imported stays,
    and scanning it again and again takes a tenth of the time of all imports.
    """
    gc.disable()
    sys.meta_path.insert(0, _Finder())
    # Imported here, as it imports modules that are deferred.
    module = importlib.import_module("agateshelf.daemon.lazy_dataclasses")
    module.install()


class _Finder:
    """Finds modules that are executed when an attribute is first used."""

    def find_spec(
        self,
        fullname: str,
        path: abc.Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the specification of a module to defer, None for others."""
        is_own = fullname.startswith(_PACKAGE)
        if not is_own and fullname not in _DEFERRED | _OMITTED:
            return None
        spec = importlib.machinery.PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            loader: Any = _Loader(spec.loader)
            spec.loader = loader
        return spec


class _Loader:
    """Executes a module when an attribute of it is first used.

    `importlib.util.LazyLoader` executes a module already when another one
    imports it, as that looks at the module's specification.
    """

    def __init__(self, loader: Any) -> None:
        self._loader = loader

    def create_module(
        self, spec: importlib.machinery.ModuleSpec
    ) -> types.ModuleType | None:
        """Create the module as its own loader does."""
        created: types.ModuleType | None = self._loader.create_module(spec)
        return created

    def exec_module(self, module: types.ModuleType) -> None:
        """Defer the execution."""

        def load(name: str) -> Any:
            del module.__dict__["__getattr__"]
            self._loader.exec_module(module)
            return getattr(module, name)

        module.__dict__["__getattr__"] = load
        if module.__name__ in _OMITTED:
            # What `from MODULE import *` looks at.
            module.__dict__["__all__"] = []
