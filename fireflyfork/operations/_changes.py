"""Changing the stored configuration: keys, change ids, and what a lost answer means."""

from __future__ import annotations

import random
import time
import uuid
from dataclasses import replace
from enum import Enum

from .._contracts import Configuration
from .._ids import ChangeId, ConfigurationVersion

CONFIGURATION_KEY = "configuration"
"""The store key of the configuration in force."""

HISTORY_PREFIX = "configuration-history/"

RETAINED_VERSIONS = 200
"""Earlier versions that the store keeps; older ones are deleted as new ones come."""

_VERSION_DIGITS = 12
_MILLISECOND_BITS = 48


class Settlement(Enum):
    """What became of a write whose answer was lost."""

    ACCEPTED = "accepted"
    """It took effect and is in force."""
    REPLACED = "replaced"
    """It took effect, and another change has replaced it since."""
    LOST = "lost"
    """Another change came first; this one never takes effect."""
    OPEN = "open"
    """It has not taken effect, but may still: the same write may be repeated."""
    UNKNOWN = "unknown"
    """The store no longer holds what would tell."""


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


def next_version(
    proposed: Configuration, current: Configuration | None, change_id: ChangeId, note: str
) -> Configuration:
    """What to write. It is above both the stored version and the one that the file was made from.

    A store that lost its contents would otherwise start at 1 again, and entries, which never go
    back to a lower version, would ignore every change until it passed the one they hold.
    """
    base = max(proposed.version, current.version if current is not None else 0)
    version = ConfigurationVersion(base + 1)
    return replace(proposed, version=version, change_id=change_id, note=note)


def same_decisions(one: Configuration, other: Configuration) -> bool:
    """Whether two configurations differ in nothing but version, change id and note."""
    bare = replace(one, version=other.version, change_id=other.change_id, note=other.note)
    return bare == other


def settle(
    written: Configuration, current: Configuration | None, archived: Configuration | None
) -> Settlement:
    """What became of ``written``, from the stored configuration and the history at its version.

    Every change archives the version it replaces before it writes, so a version that was ever
    replaced stands in the history.
    """
    if current is not None and current.change_id == written.change_id:
        return Settlement.ACCEPTED
    if current is None or current.version < written.version:
        return Settlement.OPEN
    if current.version == written.version:
        return Settlement.LOST
    if archived is None:
        return Settlement.UNKNOWN
    replaced = archived.change_id == written.change_id
    return Settlement.REPLACED if replaced else Settlement.LOST
