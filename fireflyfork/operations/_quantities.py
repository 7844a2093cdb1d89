"""Numbers with units, such as ``20ms``, ``60GB``, ``15Mbit/s`` and ``20%``."""

from __future__ import annotations

import math
import re
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

_NUMBER_AND_UNIT = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([a-zA-Z/%]*)\s*")


@dataclass(frozen=True, slots=True)
class Quantity(ABC):
    """A number with a unit; ``text`` keeps the author's spelling for files written later."""

    text: str
    amount: float
    """The number in the base unit that the subclass documents."""

    @classmethod
    @abstractmethod
    def units(cls) -> Mapping[str, float]:
        """Return the accepted units and their sizes in the base unit."""

    @classmethod
    @abstractmethod
    def example(cls) -> str:
        """Return a valid value to show in messages."""

    @classmethod
    def parse(cls, text: object) -> Self:
        """Parse a number with a unit.

        Raises ValueError if it is malformed, with the accepted units in the message, or too large.
        """
        match = _NUMBER_AND_UNIT.fullmatch(text) if isinstance(text, str) else None
        size = cls.units().get(match.group(2)) if match else None
        if match is None or size is None:
            units = ", ".join(unit for unit in cls.units() if unit)
            raise ValueError(f"expected a number with one of the units {units}")
        amount = float(match.group(1)) * size
        if not math.isfinite(amount):
            raise ValueError("the number is too large")
        return cls(match.group(0).strip(), amount)

    @property
    def rounded_amount(self) -> int:
        """The amount, rounded to a whole number."""
        return round(self.amount)

    def __str__(self) -> str:
        """Return the text as its author wrote it."""
        return self.text


class Duration(Quantity):
    """A duration; ``amount`` is in seconds."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Return the units from milliseconds to hours."""
        return {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}

    @classmethod
    def example(cls) -> str:
        """Return the example ``20ms``."""
        return "20ms"

    @property
    def seconds(self) -> float:
        """The duration in seconds, rounded to remove floating-point noise."""
        return round(self.amount, 9)

    @property
    def milliseconds(self) -> float:
        """The duration in milliseconds, rounded to remove floating-point noise."""
        return round(self.amount * 1000, 6)


class ByteCount(Quantity):
    """An amount of data or memory; ``amount`` is in bytes."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Return decimal units such as ``MB`` and binary units such as ``MiB``."""
        decimal = {"B": 1.0, "kB": 1e3, "KB": 1e3, "MB": 1e6, "GB": 1e9, "TB": 1e12}
        return decimal | {"KiB": 2.0**10, "MiB": 2.0**20, "GiB": 2.0**30, "TiB": 2.0**40}

    @classmethod
    def example(cls) -> str:
        """Return the example ``60GB``."""
        return "60GB"


class ByteRate(Quantity):
    """The capacity of a link; ``amount`` is in bytes per second."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Return units in bits per second, in which links are sold, and in bytes per second."""
        bits = {"kbit/s": 125.0, "Mbit/s": 125e3, "Gbit/s": 125e6}
        return bits | {"B/s": 1.0, "kB/s": 1e3, "MB/s": 1e6, "GB/s": 1e9}

    @classmethod
    def example(cls) -> str:
        """Return the example ``15Mbit/s``."""
        return "15Mbit/s"


class Share(Quantity):
    """A share of a whole; ``amount`` is a fraction, 1 for 100%, and is not checked here."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Return per cent only: a number without a unit could be a fraction or a percentage."""
        return {"%": 0.01}

    @classmethod
    def example(cls) -> str:
        """Return the example ``20%``."""
        return "20%"

    @property
    def fraction(self) -> float:
        """The share as a fraction of 1, rounded to remove floating-point noise."""
        return round(self.amount, 9)


class Cores(Quantity):
    """A number of processor cores; ``amount`` is in cores."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Return cores, also without a unit, and ``m`` for thousandths of a core."""
        return {"": 1.0, "cores": 1.0, "core": 1.0, "m": 0.001}

    @classmethod
    def example(cls) -> str:
        """Return the example ``0.5cores``."""
        return "0.5cores"

    @property
    def millicores(self) -> int:
        """The amount in thousandths of a core."""
        return round(self.amount * 1000)
