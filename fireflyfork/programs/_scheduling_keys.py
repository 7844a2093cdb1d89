"""Keys under which scheduling state is kept in the store."""

from __future__ import annotations

from .._ids import JobId, MachineId, NodeName, ServiceName

_ROOT = "fireflyfork/"

WORK_PREFIX = f"{_ROOT}work/"
"""Prefix of the keys of owners, jobs and cancellations.

These keys share a prefix so that a watch reports a change of owner before any job that was accepted
after it."""
JOB_PREFIX = f"{WORK_PREFIX}job/"
CANCEL_PREFIX = f"{WORK_PREFIX}cancel/"
PROGRESS_PREFIX = f"{_ROOT}progress/"
INSTANCE_PREFIX = f"{_ROOT}instance/"
"""Prefix of the instances' announcements, which are removed with the instances' leases."""
PENDING_PREFIX = f"{_ROOT}pending/"
"""Prefix of the counts of waiting jobs, by service."""
UPKEEP_PREFIX = f"{_ROOT}upkeep/"
"""Prefix of the progress of machines in waves of upkeep."""


def instance_key(node: NodeName) -> str:
    """Return the key of an instance's announcement."""
    return f"{INSTANCE_PREFIX}{node}"


def upkeep_prefix(wave: int) -> str:
    """Return the prefix of the progress of all machines in a wave of upkeep."""
    return f"{UPKEEP_PREFIX}{wave}/"


def upkeep_key(wave: int, machine: MachineId) -> str:
    """Return the key of the progress of a machine in a wave of upkeep."""
    return f"{upkeep_prefix(wave)}{machine}"


def owner_key(service: ServiceName) -> str:
    """Return the key of the owner of a service, which is removed with the owner's lease."""
    return f"{WORK_PREFIX}owner/{service}"


def term_key(service: ServiceName) -> str:
    """Return the key of the number of owners that a service has had."""
    return f"{_ROOT}term/{service}"


def journal_key(service: ServiceName) -> str:
    """Return the key of the number of the owner's last write, which orders its writes."""
    return f"{_ROOT}journal/{service}"


def executors_key(service: ServiceName) -> str:
    """Return the key of the list of the owner's executors, stored for its successor."""
    return f"{_ROOT}executors/{service}"


def queue_terms_key(service: ServiceName) -> str:
    """Return the key of the terms of queues that have changed since their jobs were accepted."""
    return f"{_ROOT}queues/{service}"


def learned_key(service: ServiceName) -> str:
    """Return the key of the learned interference between images, stored for the next owner."""
    return f"{_ROOT}learned/{service}"


def pending_key(service: ServiceName) -> str:
    """Return the key of the number of jobs in each queue that wait for their first start."""
    return f"{PENDING_PREFIX}{service}"


def work_ahead_key(service: ServiceName) -> str:
    """Return the key of the owner's figures of the work ahead of new jobs."""
    return f"{_ROOT}ahead/{service}"


def job_key(job: JobId) -> str:
    """Return the key of a job's specification, which is stored when the job is accepted."""
    return f"{JOB_PREFIX}{job}"


def cancel_key(job: JobId) -> str:
    """Return the key that exists once a job has been cancelled."""
    return f"{CANCEL_PREFIX}{job}"


def tombstone_key(job: JobId) -> str:
    """Return the key that bars a job from being accepted: it was cancelled before, or is over."""
    return f"{_ROOT}tombstone/{job}"


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress, which the owner of its service writes."""
    return f"{PROGRESS_PREFIX}{job}"
