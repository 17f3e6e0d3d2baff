"""Options of a stand-in that its control address changes."""

from collections.abc import Mapping
import dataclasses
import json
import math
from typing import Any

from agateshelf_standins import http

# The kinds of option, by their annotation, and what fits each.
_KINDS: Mapping[Any, tuple[type, ...]] = {
    bool: (bool,),
    int: (int,),
    float: (int, float),
    str: (str,),
}


class OptionError(Exception):
    """An option is unknown or its value does not fit."""


def change(options: Any, changes: Any) -> None:
    """Changes options in place; all of them or, on a wrong one, none.

    Args:
        options: An instance of a dataclass of bool, int, float and str.
        changes: The new values by name.

    Raises:
        OptionError: A name is unknown or a value does not fit.
    """
    if not isinstance(changes, dict):
        raise OptionError("the body must be a JSON object of options")
    kinds = {f.name: f.type for f in dataclasses.fields(options)}
    for name, value in changes.items():
        if name not in kinds:
            known = ", ".join(sorted(kinds))
            raise OptionError(f"unknown option {name!r}; known are {known}")
        _check(name, value, kinds[name])
    for name, value in changes.items():
        setattr(options, name, value)


def control(options: Any, request: http.Request) -> http.Answer:
    """Answers ``/control``: POST changes options, GET only shows them."""
    if request.method == "POST":
        try:
            change(options, json.loads(request.body))
        except ValueError:
            return http.error_answer(400, "the body must be JSON")
        except OptionError as error:
            return http.error_answer(400, str(error))
    elif request.method != "GET":
        return http.error_answer(405, "use GET or POST")
    return http.json_answer(dataclasses.asdict(options))


def _check(name: str, value: Any, kind: Any) -> None:
    fits = isinstance(value, _KINDS[kind])
    if kind is not bool and isinstance(value, bool):
        fits = False
    if not fits:
        given = type(value).__name__
        raise OptionError(
            f"option {name!r} must be {kind.__name__}, not {given}"
        )
    if isinstance(value, str):
        return
    if not math.isfinite(value) or value < 0:
        raise OptionError(f"option {name!r} must be 0 or more, not {value}")
