"""Exceptions raised by agateshelf."""


class AgateshelfError(Exception):
    """Base class of all exceptions of this package."""


class DocumentError(AgateshelfError):
    """A settings or configuration document is invalid.

    Attributes:
        path: JSON Pointer to the invalid value.
        expected: Description of the value expected there.
    """

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"{path or '/'}: {expected}")
        self.path = path
        self.expected = expected
