"""Numbers and words of the side towards callers."""

from typing import Final

READ_BYTES: Final = 65536
CONTENT_PROBLEM: Final = b"application/problem+json"
PROBLEM_TYPE_BASE: Final = "https://agateshelf.example/problems/"
