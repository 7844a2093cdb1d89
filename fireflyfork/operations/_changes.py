"""Keys of earlier configuration versions in the store, and ids of configuration changes."""

from __future__ import annotations

import random
import time
import uuid
from dataclasses import replace

from .._contracts import Configuration
from .._ids import ChangeId, ConfigurationVersion

HISTORY_PREFIX = "configuration-history/"

RETAINED_VERSIONS = 200
"""Number of earlier versions kept in the store; each new version deletes the oldest beyond it."""

_VERSION_DIGITS = 12
_MILLISECOND_BITS = 48


def history_key(version: ConfigurationVersion) -> str:
    """Return the store key of an earlier version; keys sort in the order of their versions."""
    return f"{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}"


def version_of_history_key(key: str) -> ConfigurationVersion:
    """Return the version of a key made by ``history_key``."""
    return ConfigurationVersion(int(key.removeprefix(HISTORY_PREFIX)))


def mint_change_id(unix_seconds: float, randomness: random.Random) -> ChangeId:
    """Return a new UUID version 7 (RFC 9562), which contains the time of the change."""
    milliseconds = int(unix_seconds * 1000) & ((1 << _MILLISECOND_BITS) - 1)
    value = milliseconds << 80 | randomness.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return ChangeId(str(uuid.UUID(int=value)))


def time_of_change(change_id: ChangeId) -> str:
    """Return the UTC time in a change id, or an empty string if the id is not a UUID version 7."""
    try:
        value = uuid.UUID(change_id)
    except ValueError:
        return ""
    if value.version != 7:
        return ""
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime((value.int >> 80) / 1000))


def has_same_settings(first: Configuration, second: Configuration) -> bool:
    """Whether two configurations are equal apart from version, change id and note."""
    aligned = replace(first, version=second.version, change_id=second.change_id, note=second.note)
    return aligned == second
