"""Check a JSON document against a model and name what is wrong with it."""

from typing import TypeVar

import pydantic

from agateshelf import exceptions

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


class Document(pydantic.BaseModel):
    """Base of all documents: no unknown keys, no change after the check."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def check_json(model: type[ModelT], text: str | bytes) -> ModelT:
    """Return the checked document.

    Raises:
        DocumentError: The text is not JSON or breaks the model.
    """
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as exc:
        raise _first_fault(exc) from None


def check_value(model: type[ModelT], value: object) -> ModelT:
    """Return the checked document, from a decoded JSON value.

    Raises:
        DocumentError: The value breaks the model.
    """
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as exc:
        raise _first_fault(exc) from None


def _first_fault(exc: pydantic.ValidationError) -> exceptions.DocumentError:
    fault = exc.errors()[0]
    path = "".join(f"/{part}" for part in fault["loc"])
    return exceptions.DocumentError(path, fault["msg"])
