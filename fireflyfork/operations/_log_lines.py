"""Reads log lines of this project's programs out of files that hold other lines too."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

_Line = TypeVar("_Line")


def decoded_lines(lines: Iterable[str], shape: type[_Line]) -> Iterator[_Line]:
    """The lines of this shape. What stands before the first brace of a line is passed over."""
    for text in lines:
        brace = text.find("{")
        if brace < 0:
            continue
        try:
            yield msgspec.json.decode(text[brace:], type=shape)
        except (msgspec.DecodeError, UnicodeEncodeError):
            # Logs of several programs lie in one file; what is none of ours is passed over.
            continue
