"""Applies JSON Patch (RFC 6902) to decoded documents."""

from typing import Any

import jsonpatch
import jsonpointer

from agateshelf import exceptions

_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    TypeError,
    KeyError,
    IndexError,
    ValueError,
)


def apply(document: Any, patch: Any) -> Any:
    """Return a patched copy of a document.

    Args:
        document: A decoded JSON document.
        patch: A decoded JSON Patch: a list of operations.

    Returns:
        The new document, not yet validated.

    Raises:
        DocumentError: The patch is malformed or does not apply to the
            document. The path is that of the operation within the patch.
    """
    if not isinstance(patch, list):
        raise exceptions.DocumentError(
            "", "a JSON Patch must be a list of operations"
        )
    changed = document
    for index, operation in enumerate(patch):
        changed = _apply_one(changed, index, operation)
    return changed


def _apply_one(document: Any, index: int, operation: Any) -> Any:
    if not isinstance(operation, dict):
        raise exceptions.DocumentError(
            f"/{index}", "an operation must be an object"
        )
    try:
        return jsonpatch.apply_patch(document, [operation])
    except RecursionError:
        raise exceptions.DocumentError(
            f"/{index}", "the nesting is too deep"
        ) from None
    except _ERRORS as exc:
        detail = f"{type(exc).__name__}: {exc}"
        raise exceptions.DocumentError(f"/{index}", detail) from None
