"""Validates JSON documents against pydantic models."""

from typing import TypeVar

import pydantic

from agateshelf import exceptions

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


class Document(pydantic.BaseModel):
    """Base model of all documents: immutable, unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def check_json(model: type[ModelT], text: str | bytes) -> ModelT:
    """Parse and validate a JSON text.

    Raises:
        DocumentError: The text is not JSON or does not match the model.
    """
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as exc:
        raise _to_document_error(exc) from None


def check_value(model: type[ModelT], value: object) -> ModelT:
    """Validate a decoded JSON value.

    Raises:
        DocumentError: The value does not match the model.
    """
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as exc:
        raise _to_document_error(exc) from None


def _to_document_error(
    exc: pydantic.ValidationError,
) -> exceptions.DocumentError:
    error = exc.errors()[0]
    path = "".join(f"/{part}" for part in error["loc"])
    return exceptions.DocumentError(path, error["msg"])
