"""Computes the traffic on the link between two regions, by purpose: ``python -m bench.link_bytes``.

Sizes are measured on encoded objects (``_link_objects``). Rates follow from the code and from the
fleets below; half of the executors and of the callers are assumed to be far from the store. HTTP
heads are counted, TCP and IP headers aren't, and no request is repeated. The "far owner" rows apply
in addition if the owner is across the link from the store; the relays are then on the store's side.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from fireflyfork._ids import JobId

from . import _link_objects as objects

SEED = 1
LINK_BYTES_PER_SECOND = 30_000_000 / 8
CONFIGURATION_BYTES = 450_000
"""Size of a large operator configuration, before base64."""
VERSIONS_BEHIND = 4
PAYLOADS = (200, 4_000)
"""Payload bytes of a job: a small payload and the largest one allowed."""
LONGEST_LIST_OF_ENDS = 500
RUNS_PER_EXECUTOR = 8
SERVICES, IMAGES = 16, 30
QUEUES = 45
MAX_JOBS_PER_WRITE = 26
JOBS_KEPT_SECONDS = 60.0
RELAYS_PER_DOMAIN, PINGS_PER_SECOND = 4, 2.5


@dataclass(frozen=True, slots=True)
class Fleet:
    """A deployment and its usual load, with rates per second."""

    instances: int
    far: int
    executors: int
    far_domains: int
    jobs_per_second: float
    """Jobs that callers submit."""
    polls_per_second: float
    questions_per_second: float
    """Calls for the state of a job; there are as many calls for the counts of waiting jobs."""
    writes_per_second: float
    """Writes of the owner's journal."""

    @property
    def far_executors(self) -> int:
        """Number of executors that are across the link from the store."""
        return self.executors // 2

    @property
    def starts_per_second(self) -> float:
        """Tasks started per second if all submitted jobs are started."""
        return self.jobs_per_second * objects.TASKS_PER_JOB

    @property
    def jobs_kept(self) -> int:
        """Number of jobs in the store in steady state; jobs stay for minutes after their end."""
        return round(self.jobs_per_second * JOBS_KEPT_SECONDS)


FLEETS = (
    Fleet(43, 22, 176, 3, 17.0, 430.0, 17.0, 55.0),
    Fleet(97, 48, 270, 3, 27.6, 620.0, 28.0, 65.0),
)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Calls for one purpose and the bytes that they add to the busier direction of the link."""

    purpose: str
    calls: float
    size: float


def burst_traffic(fleet: Fleet) -> Iterator[Traffic]:
    """Yield the traffic that may occur all at once."""
    large = objects.store_item("op/config", bytes(CONFIGURATION_BYTES))
    yield Traffic(
        "configuration: a change", fleet.far, fleet.far * objects.watch_response_bytes(large)
    )
    behind = objects.watch_response_bytes(*[large] * VERSIONS_BEHIND)
    yield Traffic(
        f"configuration: {VERSIONS_BEHIND} versions behind", fleet.far, fleet.far * behind
    )
    yield Traffic(
        "configuration: start, lost history",
        fleet.far,
        fleet.far * objects.list_response_bytes(large),
    )
    announced = objects.list_response_bytes(*map(objects.announcement_item, range(fleet.instances)))
    yield Traffic("service vacant: announcements listed", fleet.far, fleet.far * announced)
    owned = objects.list_response_bytes(objects.owner_item())
    yield Traffic("service vacant or doubtful: owner's key", fleet.far, fleet.far * owned)
    ends = objects.relayed_poll_bytes(RUNS_PER_EXECUTOR, LONGEST_LIST_OF_ENDS)[1]
    executors = fleet.far_executors
    yield Traffic("first polls, all lists of ends full", executors, executors * ends)
    runs = objects.relayed_poll_bytes(RUNS_PER_EXECUTOR, 0)[1]
    yield Traffic("first polls, runs only", executors, executors * runs)
    there, _ = objects.direct_poll_bytes(0, 0)
    yield Traffic("greetings of all executors, directly", executors, executors * there)
    for payload in PAYLOADS:
        waiting = fleet.starts_per_second / 2
        sent = waiting * objects.relayed_start_bytes(payload)[0]
        yield Traffic(f"a second's starts sent at once, {payload} B", waiting, sent)
    yield from _recovery_traffic(fleet)


def _recovery_traffic(fleet: Fleet) -> Iterator[Traffic]:
    """Yield the traffic of a far owner's recovery, which precedes its first decision.

    The owner reads the jobs again when it loses the history of the store.
    """
    names = [JobId(f"{number:016x}") for number in range(fleet.jobs_kept)]
    for payload in PAYLOADS:
        jobs = (
            objects.store_item(f"fireflyfork/work/job/{name}", objects.stored_job(name, payload))
            for name in names
        )
        pages = max(fleet.jobs_kept / 500, fleet.jobs_kept * (payload + 500) * 4 / 3 / 1e6)
        yield Traffic(
            f"far owner: jobs, {payload} B", -(-pages // 1), objects.list_response_bytes(*jobs)
        )
    stored = (
        objects.store_item(f"fireflyfork/progress/{name}", objects.stored_progress(number % 4 == 0))
        for number, name in enumerate(names)
    )
    yield Traffic(
        "far owner: progress", -(-fleet.jobs_kept // 500), objects.list_response_bytes(*stored)
    )
    registered = objects.list_response_bytes(
        *map(objects.registration_item, range(fleet.executors))
    )
    yield Traffic("far owner: registrations", 1, registered)
    known = objects.store_item(
        "fireflyfork/executors/dele69a", objects.known_executors(fleet.executors)
    )
    yield Traffic("far owner: known executors", 1, objects.response_bytes(known))
    learned = objects.learned(SERVICES, IMAGES, Random(SEED))
    item = objects.store_item("fireflyfork/learned/dele69a", learned)
    yield Traffic(
        f"far owner: learned, {SERVICES} x {IMAGES} images", 1, objects.response_bytes(item)
    )


def continuous_traffic(fleet: Fleet) -> Iterator[Traffic]:
    """Yield the continuous traffic, per second."""
    quiet = objects.watch_response_bytes()
    yield Traffic("configuration: watch, nothing new", fleet.far / 1.5, fleet.far / 1.5 * quiet)
    yield Traffic("owner's key: candidates' watch", fleet.far / 2.0, fleet.far / 2.0 * quiet)
    kept = objects.request_bytes("POST", "/kv-keep/12345")
    yield Traffic("announcement: lease kept", fleet.far / 2.0, fleet.far / 2.0 * kept)
    far_jobs = fleet.jobs_per_second / 2
    name = JobId("5c0e7a21d94b36f8")
    for payload in PAYLOADS:
        size = objects.transaction_bytes(
            (f"fireflyfork/work/job/{name}", objects.stored_job(name, payload))
        )
        yield Traffic(f"far callers: jobs, {payload} B", far_jobs, far_jobs * size)
    state = objects.store_item(f"fireflyfork/progress/{name}", objects.stored_progress(True))
    asked = fleet.questions_per_second / 2
    yield Traffic("far callers: states", asked, asked * objects.response_bytes(state))
    counts = objects.store_item("fireflyfork/pending/dele69a", objects.pending_counts(QUEUES))
    yield Traffic("far callers: counts", asked, asked * objects.response_bytes(counts))
    yield from _relay_traffic(fleet)
    yield from _far_owner_traffic(fleet, far_jobs)


def _relay_traffic(fleet: Fleet) -> Iterator[Traffic]:
    polls = fleet.polls_per_second / 2
    there, back = objects.relayed_poll_bytes(RUNS_PER_EXECUTOR, 1)
    yield Traffic("relays: polls, there", polls, polls * there)
    yield Traffic("relays: polls, back", polls, polls * back)
    there, back = objects.direct_poll_bytes(RUNS_PER_EXECUTOR, 1)
    yield Traffic("no relay: polls, there", polls, polls * there)
    yield Traffic("no relay: polls, back", polls, polls * back)
    starts = fleet.starts_per_second / 2
    for payload in PAYLOADS:
        sent = objects.relayed_start_bytes(payload)[0]
        yield Traffic(f"relays: starts, {payload} B", starts, starts * sent)
    pings = fleet.far_domains * RELAYS_PER_DOMAIN * PINGS_PER_SECOND
    yield Traffic("relays: pings", pings, pings * objects.ping_bytes()[0])


def _far_owner_traffic(fleet: Fleet, far_jobs: float) -> Iterator[Traffic]:
    beats = fleet.executors / 1.5
    changed = beats * (
        objects.watch_response_bytes(objects.registration_item(1)) - objects.watch_response_bytes()
    )
    yield Traffic(
        "far owner: watch of registrations", 1 / 0.4, changed + objects.watch_response_bytes() / 0.4
    )
    name = JobId("5c0e7a21d94b36f8")
    for payload in PAYLOADS:
        stored = objects.store_item(
            f"fireflyfork/work/job/{name}", objects.stored_job(name, payload)
        )
        size = 2 * far_jobs * objects.watch_response_bytes(stored)
        yield Traffic(f"far owner: watch of jobs, {payload} B", 2 * far_jobs, size)
    # The upper bound: each start and each end belongs to a different job.
    jobs = min(MAX_JOBS_PER_WRITE, 2 * fleet.starts_per_second / fleet.writes_per_second)
    rows = [(f"fireflyfork/progress/{name}", objects.stored_progress(True))] * round(jobs)
    size = objects.transaction_bytes(
        ("fireflyfork/journal/dele69a", b"3.4120"), *rows, conditions=2
    )
    writes = fleet.writes_per_second
    yield Traffic("far owner: journal, most that it can be", writes, writes * size)


def main() -> None:
    """Print the tables of bursts and of continuous traffic."""
    print(f"seed {SEED}; a link of {LINK_BYTES_PER_SECOND * 8 / 1e6:.0f} Mbit/s\n")
    for title, unit, make_traffic in (
        ("at once", "seconds of the link", burst_traffic),
        ("each second", "share of the link", continuous_traffic),
    ):
        print(f"{title:44}" + "".join(f"{fleet.instances:>9} instances{'':22}" for fleet in FLEETS))
        print(" " * 44 + f"{'calls':>8} {'KB':>9} {unit:>20} " * len(FLEETS))
        for rows in zip(*map(make_traffic, FLEETS), strict=True):
            cells = (
                f"{traffic.calls:8.0f} {traffic.size / 1000:9.1f} {traffic.size / LINK_BYTES_PER_SECOND:20.3f} "
                for traffic in rows
            )
            print(f"{rows[0].purpose:44}" + "".join(cells))
        print()


if __name__ == "__main__":
    main()
