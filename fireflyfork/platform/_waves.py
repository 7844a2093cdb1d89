"""Decodes the waves of upkeep that operators write, and encodes their status."""

from __future__ import annotations

import msgspec
from loguru import logger

from .._decoding import Count, Integer, Name, decode_json
from .._errors import InvalidDataError
from .._ids import MachineId
from ..adapters import StoredItem
from ..decisions.jobs import UpkeepWave
from ._names import WAVE_PREFIX, WAVE_STATUS_PREFIX

_RUNNING = "running"
_COMPLETED = "completed"


class _Wave(msgspec.Struct):
    wave: Count
    machines: list[Name]
    maximum: Integer = 1


class _Status(msgspec.Struct):
    state: str


def decode_wave(item: StoredItem) -> UpkeepWave | None:
    """Decode a wave, or log it and return None if it can't be read."""
    try:
        stored = decode_json(item.value, _Wave)
    except InvalidDataError as error:
        logger.error("cannot decode upkeep wave", key=item.key, error=str(error)[:200])
        return None
    machines = tuple(map(MachineId, stored.machines))
    return UpkeepWave(stored.wave, machines, max(1, stored.maximum))


def is_wave(key: str) -> bool:
    """Return whether ``key`` is the key of a wave."""
    return key.startswith(WAVE_PREFIX)


def wave_status_key(wave: int) -> str:
    """Return the key under which operators read the status of a wave."""
    return f"{WAVE_STATUS_PREFIX}{wave}"


def encode_wave_status(completed: bool) -> bytes:
    """Encode the status of a wave."""
    return msgspec.json.encode(_Status(_COMPLETED if completed else _RUNNING))


def is_completed_status(value: bytes) -> bool:
    """Return whether a stored status says that its wave is completed; False if it can't be read."""
    try:
        return decode_json(value, _Status).state == _COMPLETED
    except InvalidDataError as error:
        logger.error("cannot decode upkeep wave status", error=str(error)[:200])
        return False
