"""Versions of the configuration: their keys in the history, and the ids of changes."""

from __future__ import annotations

import random
import time
import uuid
from dataclasses import replace

from .._contracts import Configuration
from .._ids import ChangeId, ConfigurationVersion

HISTORY_PREFIX = "configuration-history/"

RETAINED_VERSIONS = 200
"""Earlier versions that the store keeps; older ones are deleted as new ones come."""

_VERSION_DIGITS = 12
_MILLISECOND_BITS = 48


def history_key(version: ConfigurationVersion) -> str:
    """The key under which an earlier version is kept. Keys sort as versions do."""
    return f"{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}"


def version_of_history_key(key: str) -> ConfigurationVersion:
    """The version that ``history_key`` was made from."""
    return ConfigurationVersion(int(key.removeprefix(HISTORY_PREFIX)))


def mint_change_id(unix_seconds: float, randomness: random.Random) -> ChangeId:
    """A UUID version 7 (RFC 9562): unique, and it tells when the change was made."""
    milliseconds = int(unix_seconds * 1000) & ((1 << _MILLISECOND_BITS) - 1)
    value = milliseconds << 80 | randomness.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return ChangeId(str(uuid.UUID(int=value)))


def time_of_change(change_id: ChangeId) -> str:
    """When the change was made, in UTC, or an empty text for an id of another kind."""
    try:
        value = uuid.UUID(change_id)
    except ValueError:
        return ""
    if value.version != 7:
        return ""
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime((value.int >> 80) / 1000))


def same_decisions(one: Configuration, other: Configuration) -> bool:
    """Whether two configurations differ in nothing but version, change id and note."""
    bare = replace(one, version=other.version, change_id=other.change_id, note=other.note)
    return bare == other
