"""Violations of rules in a file, with the information that an operator needs to fix them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One value that breaks one rule."""

    path: str
    """Path of the value in the file, such as ``services[0].longest_queue``."""
    value: str
    """Shortened representation of the value."""
    rule: str
    """The rule that the value breaks, as the end of a sentence without a full stop."""
    fix: str
    """The likely fix, as an instruction to the operator."""

    def __str__(self) -> str:
        """Format as one line of text."""
        return f"{self.path}: {self.value}: {self.rule}. Fix: {self.fix}."


def short_repr(value: object, max_length: int = 60) -> str:
    """Return the ``repr`` of a value, cut to ``max_length`` characters for messages."""
    text = repr(value)
    return text if len(text) <= max_length else f"{text[: max_length - 3]}..."
