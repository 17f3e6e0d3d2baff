"""Options of a stand-in that can be changed at run time through `/control`."""

from collections.abc import Mapping
import dataclasses
import json
import math
from typing import Any

from agateshelf_standins import http

# Types accepted for an option, by its annotation.
_KINDS: Mapping[Any, tuple[type, ...]] = {
    bool: (bool,),
    int: (int,),
    float: (int, float),
    str: (str,),
}


class OptionError(Exception):
    """An option is unknown or its value is invalid."""


def update(options: Any, changes: Any) -> None:
    """Update options in place; if one change is invalid, none is made.

    Args:
        options: An instance of a dataclass of bool, int, float and str.
        changes: New values by option name.

    Raises:
        OptionError: A name is unknown or a value is invalid.
    """
    if not isinstance(changes, dict):
        raise OptionError("the request body must be a JSON object of options")
    kinds = {f.name: f.type for f in dataclasses.fields(options)}
    for name, value in changes.items():
        if name not in kinds:
            known = ", ".join(sorted(kinds))
            raise OptionError(
                f"unknown option {name!r}; known options are {known}"
            )
        _check(name, value, kinds[name])
    for name, value in changes.items():
        setattr(options, name, value)


def handle_control(options: Any, request: http.Request) -> http.Response:
    """Handle `/control`: POST changes options, GET only returns them."""
    if request.method == "POST":
        try:
            update(options, json.loads(request.body))
        except ValueError:
            return http.error_response(400, "the request body must be JSON")
        except OptionError as error:
            return http.error_response(400, str(error))
    elif request.method != "GET":
        return http.error_response(405, "use GET or POST")
    return http.json_response(dataclasses.asdict(options))


def _check(name: str, value: Any, kind: Any) -> None:
    valid = isinstance(value, _KINDS[kind])
    if kind is not bool and isinstance(value, bool):
        valid = False
    if not valid:
        actual = type(value).__name__
        raise OptionError(
            f"option {name!r} must be {kind.__name__}, not {actual}"
        )
    if isinstance(value, str):
        return
    if not math.isfinite(value) or value < 0:
        raise OptionError(
            f"option {name!r} must be finite and at least 0, not {value}"
        )
