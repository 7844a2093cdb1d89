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
LINK_BYTES_A_SECOND = 30_000_000 / 8
CONFIGURATION_BYTES = 450_000
"""Size of a large operator configuration, before base64."""
VERSIONS_BEHIND = 4
PAYLOADS = (200, 4_000)
"""Payload bytes of a job: a small payload and the largest one allowed."""
LONGEST_LIST_OF_ENDS = 500
RUNS_OF_AN_EXECUTOR = 8
SERVICES, IMAGES = 16, 30
QUEUES = 45
MOST_JOBS_OF_A_WRITE = 26
JOBS_KEPT_SECONDS = 60.0
RELAYS_OF_A_DOMAIN, PINGS_A_SECOND = 4, 2.5


@dataclass(frozen=True, slots=True)
class Fleet:
    """A deployment and its usual load, with rates per second."""

    instances: int
    far: int
    executors: int
    far_domains: int
    jobs_a_second: float
    """Jobs that callers submit."""
    polls_a_second: float
    questions_a_second: float
    """Calls for the state of a job; there are as many calls for the counts of waiting jobs."""
    writes_a_second: float
    """Writes of the owner's journal."""

    @property
    def far_executors(self) -> int:
        """Number of executors that are across the link from the store."""
        return self.executors // 2

    @property
    def starts_a_second(self) -> float:
        """Tasks started per second if all submitted jobs are started."""
        return self.jobs_a_second * objects.TASKS_OF_A_JOB

    @property
    def jobs_kept(self) -> int:
        """Number of jobs in the store in steady state; jobs stay for minutes after their end."""
        return round(self.jobs_a_second * JOBS_KEPT_SECONDS)


FLEETS = (
    Fleet(43, 22, 176, 3, 17.0, 430.0, 17.0, 55.0),
    Fleet(97, 48, 270, 3, 27.6, 620.0, 28.0, 65.0),
)


@dataclass(frozen=True, slots=True)
class Crossing:
    """Calls for one purpose and the bytes that they add to the busier direction of the link."""

    purpose: str
    calls: float
    size: float


def at_once(fleet: Fleet) -> Iterator[Crossing]:
    """Yield the traffic that may occur all at once."""
    large = objects.item("op/config", bytes(CONFIGURATION_BYTES))
    yield Crossing("configuration: a change", fleet.far, fleet.far * objects.events(large))
    behind = objects.events(*[large] * VERSIONS_BEHIND)
    yield Crossing(
        f"configuration: {VERSIONS_BEHIND} versions behind", fleet.far, fleet.far * behind
    )
    yield Crossing(
        "configuration: start, lost history", fleet.far, fleet.far * objects.listing(large)
    )
    announced = objects.listing(*map(objects.announcement, range(fleet.instances)))
    yield Crossing("service vacant: announcements listed", fleet.far, fleet.far * announced)
    owned = objects.listing(objects.owner())
    yield Crossing("service vacant or doubtful: owner's key", fleet.far, fleet.far * owned)
    ends = objects.poll_frames(RUNS_OF_AN_EXECUTOR, LONGEST_LIST_OF_ENDS)[1]
    executors = fleet.far_executors
    yield Crossing("first polls, all lists of ends full", executors, executors * ends)
    runs = objects.poll_frames(RUNS_OF_AN_EXECUTOR, 0)[1]
    yield Crossing("first polls, runs only", executors, executors * runs)
    there, _ = objects.direct_poll(0, 0)
    yield Crossing("greetings of all executors, directly", executors, executors * there)
    for payload in PAYLOADS:
        waiting = fleet.starts_a_second / 2
        sent = waiting * objects.start_frames(payload)[0]
        yield Crossing(f"a second's starts sent at once, {payload} B", waiting, sent)
    yield from _recovery(fleet)


def _recovery(fleet: Fleet) -> Iterator[Crossing]:
    """Yield the traffic of a far owner's recovery, which precedes its first decision.

    The owner reads the jobs again when it loses the history of the store.
    """
    names = [JobId(f"{number:016x}") for number in range(fleet.jobs_kept)]
    for payload in PAYLOADS:
        jobs = (
            objects.item(f"fireflyfork/work/job/{name}", objects.job(name, payload))
            for name in names
        )
        pages = max(fleet.jobs_kept / 500, fleet.jobs_kept * (payload + 500) * 4 / 3 / 1e6)
        yield Crossing(f"far owner: jobs, {payload} B", -(-pages // 1), objects.listing(*jobs))
    stored = (
        objects.item(f"fireflyfork/progress/{name}", objects.progress(number % 4 == 0))
        for number, name in enumerate(names)
    )
    yield Crossing("far owner: progress", -(-fleet.jobs_kept // 500), objects.listing(*stored))
    registered = objects.listing(*map(objects.registration, range(fleet.executors)))
    yield Crossing("far owner: registrations", 1, registered)
    known = objects.item("fireflyfork/executors/dele69a", objects.known_executors(fleet.executors))
    yield Crossing("far owner: known executors", 1, objects.answer(known))
    learned = objects.learned(SERVICES, IMAGES, Random(SEED))
    item = objects.item("fireflyfork/learned/dele69a", learned)
    yield Crossing(f"far owner: learned, {SERVICES} x {IMAGES} images", 1, objects.answer(item))


def each_second(fleet: Fleet) -> Iterator[Crossing]:
    """Yield the continuous traffic, per second."""
    quiet = objects.events()
    yield Crossing("configuration: watch, nothing new", fleet.far / 1.5, fleet.far / 1.5 * quiet)
    yield Crossing("owner's key: candidates' watch", fleet.far / 2.0, fleet.far / 2.0 * quiet)
    kept = objects.request("POST", "/kv-keep/12345")
    yield Crossing("announcement: lease kept", fleet.far / 2.0, fleet.far / 2.0 * kept)
    far_jobs = fleet.jobs_a_second / 2
    name = JobId("5c0e7a21d94b36f8")
    for payload in PAYLOADS:
        size = objects.commit((f"fireflyfork/work/job/{name}", objects.job(name, payload)))
        yield Crossing(f"far callers: jobs, {payload} B", far_jobs, far_jobs * size)
    state = objects.item(f"fireflyfork/progress/{name}", objects.progress(True))
    asked = fleet.questions_a_second / 2
    yield Crossing("far callers: states", asked, asked * objects.answer(state))
    counts = objects.item("fireflyfork/pending/dele69a", objects.pending_counts(QUEUES))
    yield Crossing("far callers: counts", asked, asked * objects.answer(counts))
    yield from _relayed(fleet)
    yield from _far_owner(fleet, far_jobs)


def _relayed(fleet: Fleet) -> Iterator[Crossing]:
    polls = fleet.polls_a_second / 2
    there, back = objects.poll_frames(RUNS_OF_AN_EXECUTOR, 1)
    yield Crossing("relays: polls, there", polls, polls * there)
    yield Crossing("relays: polls, back", polls, polls * back)
    there, back = objects.direct_poll(RUNS_OF_AN_EXECUTOR, 1)
    yield Crossing("no relay: polls, there", polls, polls * there)
    yield Crossing("no relay: polls, back", polls, polls * back)
    starts = fleet.starts_a_second / 2
    for payload in PAYLOADS:
        sent = objects.start_frames(payload)[0]
        yield Crossing(f"relays: starts, {payload} B", starts, starts * sent)
    pings = fleet.far_domains * RELAYS_OF_A_DOMAIN * PINGS_A_SECOND
    yield Crossing("relays: pings", pings, pings * objects.ping_frames()[0])


def _far_owner(fleet: Fleet, far_jobs: float) -> Iterator[Crossing]:
    beats = fleet.executors / 1.5
    changed = beats * (objects.events(objects.registration(1)) - objects.events())
    yield Crossing("far owner: watch of registrations", 1 / 0.4, changed + objects.events() / 0.4)
    name = JobId("5c0e7a21d94b36f8")
    for payload in PAYLOADS:
        stored = objects.item(f"fireflyfork/work/job/{name}", objects.job(name, payload))
        size = 2 * far_jobs * objects.events(stored)
        yield Crossing(f"far owner: watch of jobs, {payload} B", 2 * far_jobs, size)
    # The upper bound: each start and each end belongs to a different job.
    jobs = min(MOST_JOBS_OF_A_WRITE, 2 * fleet.starts_a_second / fleet.writes_a_second)
    rows = [(f"fireflyfork/progress/{name}", objects.progress(True))] * round(jobs)
    size = objects.commit(("fireflyfork/journal/dele69a", b"3.4120"), *rows, conditions=2)
    writes = fleet.writes_a_second
    yield Crossing("far owner: journal, most that it can be", writes, writes * size)


def main() -> None:
    """Print the tables of bursts and of continuous traffic."""
    print(f"seed {SEED}; a link of {LINK_BYTES_A_SECOND * 8 / 1e6:.0f} Mbit/s\n")
    for title, unit, crossings in (
        ("at once", "seconds of the link", at_once),
        ("each second", "share of the link", each_second),
    ):
        print(f"{title:44}" + "".join(f"{fleet.instances:>9} instances{'':22}" for fleet in FLEETS))
        print(" " * 44 + f"{'calls':>8} {'KB':>9} {unit:>20} " * len(FLEETS))
        for rows in zip(*map(crossings, FLEETS), strict=True):
            cells = (
                f"{one.calls:8.0f} {one.size / 1000:9.1f} {one.size / LINK_BYTES_A_SECOND:20.3f} "
                for one in rows
            )
            print(f"{rows[0].purpose:44}" + "".join(cells))
        print()


if __name__ == "__main__":
    main()
