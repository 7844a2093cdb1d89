"""What is wrong with a file, said so that the operator can mend it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One value that breaks one rule."""

    path: str
    """Where in the file, such as ``services[0].longest_queue``."""
    value: str
    """The value found there, shortened."""
    rule: str
    """The rule that it breaks, as a sentence without a full stop."""
    fix: str
    """The likely fix."""

    def __str__(self) -> str:
        """One line for a terminal."""
        return f"{self.path}: {self.value}: {self.rule}. Fix: {self.fix}."


def shown(value: object, longest: int = 60) -> str:
    """A value as a message shows it."""
    text = repr(value)
    return text if len(text) <= longest else f"{text[: longest - 3]}..."
