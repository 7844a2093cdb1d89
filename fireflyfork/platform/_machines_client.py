"""A client of the platform's machine service, which lists machines and takes them down for upkeep."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import quote

import msgspec
from loguru import logger

from .._decoding import decode_json
from .._errors import InvalidDataError
from .._ids import ExecutorId, FencingToken, MachineId, NodeName, ServiceName
from .._links import Address
from ..adapters import HttpError, MachineCalls
from ..decisions.jobs import MachineListing, MachineState, UpkeepOutcome
from ._http_calls import CallAnswer, JsonCalls
from ._names import (
    DUTY_HOLDER_HEADER,
    FENCING_TOKEN_HEADER,
    MACHINES_PATH,
    UPKEEP_PATH,
)

CALL_TIMEOUT_SECONDS = 2.0
"""An answer takes milliseconds. Only upkeep waits for this service, and upkeep takes seconds anyway."""

_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.UPKEEP,
    "down": MachineState.DOWN,
}
_REASONS = {
    "fence": UpkeepOutcome.FENCED,
    "busy": UpkeepOutcome.BUSY,
    "wave": UpkeepOutcome.OTHER_WAVE,
}

_Body = TypeVar("_Body")


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    """The service that the machine belongs to."""
    state: str
    id: str | None = None
    """The executor that currently runs on the machine."""


class _Page(msgspec.Struct):
    machines: list[_Machine]
    next_page_token: str | None = None


class _Order(msgspec.Struct):
    machine: str
    wave: int


class _Refusal(msgspec.Struct):
    reason: str = ""


class PlatformMachines(MachineCalls):
    """Calls the machine service over HTTP."""

    def __init__(self, address: Address) -> None:
        """Configure a client, which connects to ``address`` on the first call."""
        self._calls = JsonCalls(address, CALL_TIMEOUT_SECONDS)

    async def list(self) -> tuple[MachineListing, ...] | None:
        """See MachineCalls."""
        machines: list[MachineListing] = []
        token: str | None = None
        while True:
            target = (
                MACHINES_PATH if token is None else f"{MACHINES_PATH}?page_token={quote(token)}"
            )
            answer = await self._call("GET", target)
            page = _decoded(answer, _Page) if answer is not None else None
            if page is None:
                return None
            machines.extend(map(_listing, page.machines))
            token = page.next_page_token
            if not token:
                return tuple(machines)

    async def begin_upkeep(
        self, machine: MachineId, wave: int, holder: NodeName, token: FencingToken
    ) -> UpkeepOutcome:
        """See MachineCalls."""
        headers = (
            (DUTY_HOLDER_HEADER, holder.encode("ascii")),
            (FENCING_TOKEN_HEADER, str(token).encode("ascii")),
        )
        body = msgspec.json.encode(_Order(machine, wave))
        answer = await self._call("POST", UPKEEP_PATH, body, headers)
        if answer is None:
            return UpkeepOutcome.UNKNOWN
        if answer.status == 200:
            return UpkeepOutcome.ACCEPTED
        if answer.status == 400:
            return UpkeepOutcome.UNKNOWN_MACHINE
        refusal = _decoded(answer, _Refusal, 409)
        reason = refusal.reason if refusal is not None else ""
        return _REASONS.get(reason, UpkeepOutcome.UNKNOWN)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> CallAnswer | None:
        try:
            return await self._calls.call(method, target, body, headers)
        except HttpError as error:
            logger.info("no answer about machines", target=target, error=str(error))
            return None


def _decoded(answer: CallAnswer, shape: type[_Body], status: int = 200) -> _Body | None:
    if answer.status != status:
        logger.info("refused about machines", status=answer.status, body=repr(answer.body[:100]))
        return None
    try:
        return decode_json(answer.body, shape)
    except InvalidDataError as error:
        logger.warning("cannot decode machine service answer", error=str(error))
        return None


def _listing(row: _Machine) -> MachineListing:
    # An unknown state is treated as DOWN, so the machine isn't ordered down for upkeep.
    state = _STATES.get(row.state, MachineState.DOWN)
    executor = ExecutorId(row.id) if row.id else None
    return MachineListing(MachineId(row.machine), ServiceName(row.pool), state, executor)
