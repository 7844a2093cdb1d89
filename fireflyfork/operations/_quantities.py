"""Numbers with units, as people write them: ``20ms``, ``60GB``, ``15Mbit/s``, ``20%``."""

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
    """A number with its unit. ``text`` is kept, so that a file keeps what its author wrote."""

    text: str
    amount: float
    """In the unit that the subclass names."""

    @classmethod
    @abstractmethod
    def units(cls) -> Mapping[str, float]:
        """Each accepted unit and its size."""

    @classmethod
    @abstractmethod
    def example(cls) -> str:
        """A well-formed value, for messages."""

    @classmethod
    def parse(cls, text: object) -> Self:
        """Read a number with a unit. Raises ValueError, whose message names the accepted units."""
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
    def whole(self) -> int:
        """The amount, rounded to a whole number."""
        return round(self.amount)

    def __str__(self) -> str:
        """What the author wrote."""
        return self.text


class Duration(Quantity):
    """A time; ``amount`` is in seconds."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Milliseconds to hours."""
        return {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}

    @classmethod
    def example(cls) -> str:
        """A short time."""
        return "20ms"

    @property
    def seconds(self) -> float:
        """In seconds, without the noise of binary fractions."""
        return round(self.amount, 9)

    @property
    def milliseconds(self) -> float:
        """In milliseconds, without the noise of binary fractions."""
        return round(self.amount * 1000, 6)


class ByteCount(Quantity):
    """An amount of data or memory; ``amount`` is in bytes."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Decimal units, and binary ones with an ``i``."""
        decimal = {"B": 1.0, "kB": 1e3, "KB": 1e3, "MB": 1e6, "GB": 1e9, "TB": 1e12}
        return decimal | {"KiB": 2.0**10, "MiB": 2.0**20, "GiB": 2.0**30, "TiB": 2.0**40}

    @classmethod
    def example(cls) -> str:
        """The memory of a worker."""
        return "60GB"


class ByteRate(Quantity):
    """A link's capacity; ``amount`` is in bytes a second."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Bits a second, as links are sold, and bytes a second."""
        bits = {"kbit/s": 125.0, "Mbit/s": 125e3, "Gbit/s": 125e6}
        return bits | {"B/s": 1.0, "kB/s": 1e3, "MB/s": 1e6, "GB/s": 1e9}

    @classmethod
    def example(cls) -> str:
        """A narrow link."""
        return "15Mbit/s"


class Share(Quantity):
    """A part of a whole; ``amount`` is from 0 to 1 when sensible."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Per cent only: a bare 20 could mean either."""
        return {"%": 0.01}

    @classmethod
    def example(cls) -> str:
        """A fifth."""
        return "20%"

    @property
    def fraction(self) -> float:
        """From 0 to 1, without the noise of binary fractions."""
        return round(self.amount, 9)


class Cores(Quantity):
    """Processor time; ``amount`` is in cores."""

    __slots__ = ()

    @classmethod
    def units(cls) -> Mapping[str, float]:
        """Cores, also bare, or thousandths of one."""
        return {"": 1.0, "cores": 1.0, "core": 1.0, "m": 0.001}

    @classmethod
    def example(cls) -> str:
        """Half a core."""
        return "0.5cores"

    @property
    def millicores(self) -> int:
        """In thousandths of a core."""
        return round(self.amount * 1000)
