"""Errors of the decoders for data that others wrote."""

from typing import Final

import msgspec

# Data that is nested too deeply raises a `RecursionError`, which is not an
# error of the decoder's own.
ERRORS: Final = (msgspec.MsgspecError, UnicodeError, RecursionError)
