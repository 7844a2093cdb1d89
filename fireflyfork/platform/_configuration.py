"""Decodes the operator's configuration into queues."""

from __future__ import annotations

import msgspec

from .._decoding import Count, Integer, decode_json
from .._errors import InvalidDataError, SettingsError
from .._ids import ConfigurationVersion, QueueName, ServiceName
from ..decisions.jobs import (
    MAX_STRETCH_FACTOR,
    AdviceTerms,
    QueueConfiguration,
    QueueTable,
    queue_table,
)


class _Advice(msgspec.Struct):
    """The cost and validity of the advisor's answers; a route that has them requires tickets."""

    decision_ms: Count = 0
    each_ms: Count = 0
    valid_ms: Count = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: Integer = 0
    attempts: Integer = 1
    stretch_factor: float = 1.0
    target_latency_ms: Count = 0
    timeout_ms: Count = 0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str


class _Configuration(msgspec.Struct):
    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []


def decode_configuration(value: bytes) -> QueueTable:
    """Decode the queues of a stored configuration. Raises SettingsError if it can't be read."""
    try:
        stored = decode_json(value, _Configuration)
    except InvalidDataError as error:
        raise SettingsError(f"the stored configuration can't be read: {error}") from error
    return queue_table(
        ConfigurationVersion(stored.version),
        tuple(_queue(route, ConfigurationVersion(stored.version)) for route in stored.routes),
        frozenset(ServiceName(service.name) for service in stored.services),
    )


def _queue(route: _Route, version: ConfigurationVersion) -> QueueConfiguration:
    return QueueConfiguration(
        name=QueueName(route.name),
        host=route.host,
        path_prefix=route.path_prefix,
        service=ServiceName(route.service),
        priority=route.priority,
        attempts=max(1, route.attempts),
        stretch_factor=min(max(0.0, route.stretch_factor), MAX_STRETCH_FACTOR),
        target_latency_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms,
        needs_tickets=route.advice is not None,
        advice=_advice_terms(route.advice),
        version=version,
    )


def _advice_terms(advice: _Advice | None) -> AdviceTerms:
    if advice is None:
        return AdviceTerms()
    return AdviceTerms(advice.decision_ms / 1000, advice.each_ms / 1000, advice.valid_ms / 1000)
