"""Exceptions raised by agateshelf."""


class AgateshelfError(Exception):
    """Base of all exceptions of this package."""


class DocumentError(AgateshelfError):
    """A settings or configuration document breaks a rule.

    Attributes:
        path: Where in the document, as a JSON Pointer.
        expected: What the document should hold there.
    """

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"{path or '/'}: {expected}")
        self.path = path
        self.expected = expected
