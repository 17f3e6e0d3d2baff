"""Data classes whose methods are compiled when they are first called.

`dataclasses.dataclass` compiles up to six methods for each class, and formats
its signature where docstrings are stripped. For the 187 data classes that an
entry imports, this takes a third of the processor time of its start; before its
first answer, an entry calls few of these methods.
"""

from collections import abc
import dataclasses
from typing import Any
from typing import Final

_PACKAGE: Final = "agateshelf."
_OPTIONS: Final = frozenset({"frozen", "slots", "eq"})
_METHODS: Final = frozenset(
    {
        "__init__",
        "__repr__",
        "__eq__",
        "__hash__",
        "__setattr__",
        "__delattr__",
    }
)

_compile_now: Final = dataclasses.dataclass


def install() -> None:
    """Have this package's data classes that are defined from now on be lazy."""
    dataclasses.dataclass = decorate


def decorate(cls: Any = None, /, **options: bool) -> Any:
    """Decorate a class as `dataclasses.dataclass` does, with lazy methods."""
    if cls is None:
        return lambda decorated: decorate(decorated, **options)
    if not _is_supported(cls, options):
        return _compile_now(cls, **options)
    if cls.__doc__ is None:
        # Otherwise its signature would be formatted as its docstring.
        cls.__doc__ = cls.__name__
    cls = _compile_now(
        cls,
        init=False,
        repr=False,
        eq=False,
        slots=options.get("slots", False),
    )
    is_frozen = options.get("frozen", False)
    names = ["__init__", "__repr__"]
    if options.get("eq", True):
        names.append("__eq__")
        if is_frozen:
            names.append("__hash__")
        else:
            cls.__hash__ = None
    for name in names:
        setattr(cls, name, _create_lazy_method(cls, name, is_frozen=is_frozen))
    cls.__init__ = _create_first_init(cls, cls.__init__)
    if is_frozen:
        cls.__setattr__ = _refuse_assignment
        cls.__delattr__ = _refuse_deletion
    return cls


def _is_supported(cls: Any, options: dict[str, bool]) -> bool:
    return (
        cls.__module__.startswith(_PACKAGE)
        and _OPTIONS.issuperset(options)
        and _METHODS.isdisjoint(cls.__dict__)
    )


def _create_lazy_method(
    cls: Any, name: str, *, is_frozen: bool
) -> abc.Callable[..., Any]:
    def method(*args: Any, **kwargs: Any) -> Any:
        compiled = _compile(cls, name, is_frozen=is_frozen)
        setattr(cls, name, compiled)
        return compiled(*args, **kwargs)

    return method


def _create_first_init(
    cls: Any, lazy_init: abc.Callable[..., None]
) -> abc.Callable[..., None]:
    """Return an `__init__` that has itself compiled for the second instance.

    Of many classes, such as those of an entry's state, there is only one.
    """

    def init(self: Any, *args: Any, **kwargs: Any) -> None:
        cls.__init__ = lazy_init
        fields = dataclasses.fields(cls)
        values = dict(zip((f.name for f in fields), args, strict=False))
        values.update(kwargs)
        is_simple = len(values) == len(args) + len(kwargs) and all(
            f.init and not f.kw_only for f in fields
        )
        for field in fields:
            if field.name in values:
                continue
            if field.default is not dataclasses.MISSING:
                values[field.name] = field.default
            elif field.default_factory is not dataclasses.MISSING:
                values[field.name] = field.default_factory()
        if not is_simple or values.keys() != {f.name for f in fields}:
            lazy_init(self, *args, **kwargs)
            return
        for name, value in values.items():
            object.__setattr__(self, name, value)
        if hasattr(cls, "__post_init__"):
            self.__post_init__()

    return init


def _compile(cls: Any, name: str, *, is_frozen: bool) -> abc.Callable[..., Any]:
    """Compile one method, by means of a class with the same fields."""
    namespace: dict[str, Any] = {
        "__annotations__": {},
        "__doc__": cls.__doc__,
        "__module__": cls.__module__,
    }
    if hasattr(cls, "__post_init__"):
        namespace["__post_init__"] = cls.__post_init__
    for field in dataclasses.fields(cls):
        namespace["__annotations__"][field.name] = field.type
        namespace[field.name] = dataclasses.field(
            default=field.default,
            default_factory=field.default_factory,
            init=field.init,
            repr=field.repr,
            hash=field.hash,
            compare=field.compare,
            kw_only=field.kw_only,
        )
    model: Any = _compile_now(
        type(cls.__name__, (), namespace),
        init=name == "__init__",
        repr=name == "__repr__",
        eq=name in ("__eq__", "__hash__"),
        frozen=is_frozen,
        slots="__slots__" in cls.__dict__,
    )
    compiled: abc.Callable[..., Any] = model.__dict__[name]
    return compiled


def _refuse_assignment(self: object, name: str, value: object) -> None:
    del self, value
    raise dataclasses.FrozenInstanceError(f"cannot assign to field {name!r}")


def _refuse_deletion(self: object, name: str) -> None:
    del self
    raise dataclasses.FrozenInstanceError(f"cannot delete field {name!r}")
