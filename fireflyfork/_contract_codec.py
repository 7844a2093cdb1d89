"""The configuration as bytes, for the store and for peers."""

from __future__ import annotations

import msgspec

from ._contracts import Configuration
from ._errors import SettingsError


def encode_contracts(configuration: Configuration) -> bytes:
    """JSON with the fields in the order of their types, so that equal values give equal bytes."""
    return msgspec.json.encode(configuration)


def decode_contracts(value: bytes) -> Configuration:
    """Read what ``encode_contracts`` wrote. Raises SettingsError."""
    try:
        return msgspec.json.decode(value, type=Configuration)
    except msgspec.DecodeError as error:
        raise SettingsError(f"the configuration is unreadable: {error}") from error
