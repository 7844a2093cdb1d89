"""Decodes the registrations that executors write to the store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from loguru import logger

from .._errors import SettingsError
from .._ids import ExecutorId, FailureDomainName, ServiceName
from .._links import Address
from ..adapters import StoredItem
from ..decisions.jobs import ExecutorRegistration, ExecutorRoom
from ._names import REGISTRATION_PREFIX

_READY = "ready"
_DRAINING = "draining"


class _Room(msgspec.Struct):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    room: _Room
    born: Annotated[int, msgspec.Meta(gt=0)]
    """The start time in Unix milliseconds. Without it, incarnations of an executor can't be told apart."""
    labels: list[str] = []
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
        entry = msgspec.json.decode(item.value, type=_Registration)
        address = Address.parse(entry.address)
    except (msgspec.DecodeError, msgspec.ValidationError, SettingsError) as error:
        logger.warning("cannot decode registration", executor=executor, error=str(error)[:200])
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


def _version(value: object) -> str:
    """Return the version of an executor's software; empty if the entry has none that is usable."""
    return str(value) if isinstance(value, str | int) else ""
