"""Waves of upkeep as operators write them, and what is reported of them."""

from __future__ import annotations

import msgspec
from loguru import logger

from .._ids import MachineId
from ..adapters import StoredItem
from ..decisions.jobs import UpkeepWave
from ._names import WAVE_PREFIX, WAVE_STATUS_PREFIX

_RUNNING = "running"
_COMPLETED = "completed"


class _Wave(msgspec.Struct):
    wave: int
    machines: list[str]
    maximum: int = 1


class _Status(msgspec.Struct):
    state: str


def decode_wave(item: StoredItem) -> UpkeepWave | None:
    """The wave, or None for one that can't be read, which is logged and passed over."""
    try:
        stored = msgspec.json.decode(item.value, type=_Wave)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        logger.error("upkeep wave not readable", key=item.key, error=str(error)[:200])
        return None
    machines = tuple(map(MachineId, stored.machines))
    return UpkeepWave(stored.wave, machines, max(1, stored.maximum))


def is_wave(key: str) -> bool:
    """Whether a key holds a wave."""
    return key.startswith(WAVE_PREFIX)


def wave_status_key(wave: int) -> str:
    """Where operators look for the state of a wave."""
    return f"{WAVE_STATUS_PREFIX}{wave}"


def encode_wave_status(over: bool) -> bytes:
    """What operators are told of a wave."""
    return msgspec.json.encode(_Status(_COMPLETED if over else _RUNNING))


def reports_over(value: bytes) -> bool:
    """Whether a stored report says that its wave is over; one that can't be read does not."""
    try:
        return msgspec.json.decode(value, type=_Status).state == _COMPLETED
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        logger.error("wave report not readable", error=str(error)[:200])
        return False
