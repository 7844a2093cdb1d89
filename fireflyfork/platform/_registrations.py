"""Decodes the registrations that executors write to the store."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec
from loguru import logger

from .._decoding import (
    MAX_INTEGER,
    MAX_NAME_LENGTH,
    Count,
    Name,
    decode_json,
    guarded,
    is_header_text,
)
from .._errors import InvalidDataError, SettingsError
from .._ids import ExecutorId, FailureDomainName, ServiceName
from .._links import Address
from ..adapters import StoredItem
from ..decisions.jobs import ExecutorRegistration, ExecutorRoom
from ._names import REGISTRATION_PREFIX

_READY = "ready"
_DRAINING = "draining"
MAX_LABELS = 64


class _Room(msgspec.Struct):
    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class _Registration(msgspec.Struct):
    service: Name
    address: Name
    zone: Name
    state: str
    room: _Room
    born: Annotated[int, msgspec.Meta(gt=0, le=MAX_INTEGER)]
    """The start time in Unix milliseconds. Without it, incarnations of an executor can't be told apart."""
    labels: Annotated[list[Name], msgspec.Meta(max_length=MAX_LABELS)] = []
    version: object = ""


def registered_executor(key: str) -> ExecutorId:
    """Return the executor whose registration is stored under ``key``."""
    return ExecutorId(key.removeprefix(REGISTRATION_PREFIX))


def decode_registration(item: StoredItem) -> ExecutorRegistration | None:
    """Decode a registration, or return None if it doesn't describe a usable executor.

    Other programs write invalid entries under the same prefix. Such an entry is logged and skipped, so
    the other executors can still be used.
    """
    executor = registered_executor(item.key)
    try:
        entry = decode_json(item.value, _Registration)
        address = guarded(lambda: _address(entry.address))
    except InvalidDataError as error:
        logger.warning("cannot decode registration", executor=executor, error=str(error)[:200])
        return None
    # Each call to an executor names it in a header.
    if not is_header_text(executor):
        logger.warning("registration has unusable key", executor=repr(executor))
        return None
    if entry.state not in (_READY, _DRAINING):
        logger.warning("registration has unknown state", executor=executor, state=entry.state[:40])
        return None
    return ExecutorRegistration(
        executor=executor,
        service=ServiceName(entry.service),
        address=address,
        failure_domain=FailureDomainName(entry.zone),
        draining=entry.state == _DRAINING,
        room=ExecutorRoom(entry.room.cpu, entry.room.mem_mb, entry.room.gpu),
        labels=frozenset(entry.labels),
        # The first label is the kind of the executor, the second label its rack.
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
        incarnation=entry.born,
        version=_version(entry.version),
    )


def _address(text: str) -> Address:
    """Decode the address of an executor. Raises SettingsError.

    The platform's network has IPv4 only, and a connection leads to one executor.
    """
    address = Address.parse(text)
    number = ipaddress.ip_address(address.host)
    if number.version != 4 or number.is_unspecified or number.is_multicast:
        raise SettingsError(f"{text!r:.80} is not the IPv4 address of one executor")
    return address


def _version(value: object) -> str:
    """Return the version of an executor's software; empty if the entry has none that is usable."""
    if isinstance(value, str):
        return value[:MAX_NAME_LENGTH]
    return str(value) if isinstance(value, int) and abs(value) <= MAX_INTEGER else ""
