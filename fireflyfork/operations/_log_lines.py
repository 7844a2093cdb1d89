"""Decodes JSON log lines of fireflyfork's programs from files that contain other lines too."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

from .._decoding import decode_json
from .._errors import InvalidDataError

_Line = TypeVar("_Line")


def decode_log_lines(lines: Iterable[str], line_type: type[_Line]) -> Iterator[_Line]:
    """Yield the lines that decode as ``line_type``; text before a line's first brace is skipped."""
    for text in lines:
        brace = text.find("{")
        if brace < 0:
            continue
        try:
            yield decode_json(text[brace:], line_type)
        except InvalidDataError:
            # A file may combine the logs of several programs; lines of other programs are skipped.
            continue
