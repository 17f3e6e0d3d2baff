"""JSON Patch (RFC 6902) on the operators' configuration."""

from typing import Any

import jsonpatch
import jsonpointer

from agateshelf import exceptions

_FAULTS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    TypeError,
    KeyError,
    IndexError,
    ValueError,
)


def apply(document: Any, patch: Any) -> Any:
    """Return a new document with a patch applied; the old one stays as it is.

    Args:
        document: A decoded JSON document.
        patch: A decoded JSON Patch: a list of operations.

    Returns:
        The new document, not yet checked.

    Raises:
        DocumentError: The patch is malformed or doesn't fit the document.
    """
    if not isinstance(patch, list):
        raise exceptions.DocumentError("", "a JSON Patch: a list of operations")
    changed = document
    for at, operation in enumerate(patch):
        changed = _apply_one(changed, at, operation)
    return changed


def _apply_one(document: Any, at: int, operation: Any) -> Any:
    if not isinstance(operation, dict):
        raise exceptions.DocumentError(f"/{at}", "an operation: an object")
    try:
        return jsonpatch.apply_patch(document, [operation])
    except RecursionError:
        raise exceptions.DocumentError(f"/{at}", "less nesting") from None
    except _FAULTS as exc:
        detail = f"{type(exc).__name__}: {exc}"
        raise exceptions.DocumentError(f"/{at}", detail) from None
