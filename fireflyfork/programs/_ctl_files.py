"""Reads and writes the operator's files."""

from __future__ import annotations

from pathlib import Path

from .._contracts import Configuration
from ..operations import decode_document
from ._ctl_output import CommandError, ExitCode, Output


def read_configuration(file: Path, output: Output) -> Configuration:
    """Read the configuration in a file.

    Raises CommandError after printing all violations if the file can't be decoded.
    """
    decoded = decode_document(Configuration, read_text(file))
    if decoded.value is None:
        output.violations(str(file), decoded.violations)
        raise CommandError(ExitCode.USAGE, f"{file} can't be used")
    return decoded.value


def read_text(file: Path) -> str:
    """Read a UTF-8 text file. Raises CommandError."""
    try:
        return file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(ExitCode.USAGE, f"{file} can't be read: {error}") from error


def write_text(file: Path, text: str) -> None:
    """Write a UTF-8 text file, creating its directory if needed. Raises CommandError."""
    try:
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text, "utf-8")
    except OSError as error:
        raise CommandError(ExitCode.FAILED, f"{file} can't be written: {error}") from error
