"""Where scheduling keeps what must last."""

from __future__ import annotations

from .._ids import JobId, MachineId, NodeName, ServiceName

_ROOT = "fireflyfork/"

WORK_PREFIX = f"{_ROOT}work/"
"""Owners, jobs and cancellations under one prefix: whoever follows it sees a change of owner before
any job that was accepted after it."""
JOB_PREFIX = f"{WORK_PREFIX}job/"
CANCEL_PREFIX = f"{WORK_PREFIX}cancel/"
PROGRESS_PREFIX = f"{_ROOT}progress/"
INSTANCE_PREFIX = f"{_ROOT}instance/"
"""What instances announce of themselves; goes with their leases."""
UPKEEP_PREFIX = f"{_ROOT}upkeep/"
"""How far machines are in waves of upkeep."""


def instance_key(node: NodeName) -> str:
    """What one instance announces of itself."""
    return f"{INSTANCE_PREFIX}{node}"


def upkeep_prefix(wave: int) -> str:
    """How far the machines of a wave of upkeep are."""
    return f"{UPKEEP_PREFIX}{wave}/"


def upkeep_key(wave: int, machine: MachineId) -> str:
    """How far one of them is."""
    return f"{upkeep_prefix(wave)}{machine}"


def owner_key(service: ServiceName) -> str:
    """Who owns a service; goes with the owner's lease."""
    return f"{WORK_PREFIX}owner/{service}"


def term_key(service: ServiceName) -> str:
    """How many owners a service has had."""
    return f"{_ROOT}term/{service}"


def journal_key(service: ServiceName) -> str:
    """The number of the owner's last write, which orders its writes."""
    return f"{_ROOT}journal/{service}"


def executors_key(service: ServiceName) -> str:
    """The executors that the owner knows, for its successor."""
    return f"{_ROOT}executors/{service}"


def learned_key(service: ServiceName) -> str:
    """What the owner has learned about which images disturb which, for its successor."""
    return f"{_ROOT}learned/{service}"


def pending_key(service: ServiceName) -> str:
    """How many jobs of each queue wait for their first start."""
    return f"{_ROOT}pending/{service}"


def job_key(job: JobId) -> str:
    """A job as it was accepted."""
    return f"{JOB_PREFIX}{job}"


def cancel_key(job: JobId) -> str:
    """Exists once a job has been cancelled."""
    return f"{CANCEL_PREFIX}{job}"


def progress_key(job: JobId) -> str:
    """A job's progress, written by the owner of its service."""
    return f"{PROGRESS_PREFIX}{job}"
