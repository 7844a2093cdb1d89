"""``python -m fireflyfork_standins.scheduling.soak``: scheduler processes under overlapping trouble.

Real processes of ``fireflyfork-scheduler`` serve callers who keep their connections, on a simulated
platform with an advisor. Meanwhile processes are killed, stopped, suspended and told to read their
settings, the configuration changes, and store, executors and advisor fail, drawn from a seed. At
the end every accepted job has to be over, and no promise to callers may have been broken.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import defopt
import trio

from fireflyfork.decisions.jobs import StepSpec

from ._advisor import AdvisorProfile
from ._further_writers import FurtherWriters, KindChanges
from ._history import Violation
from ._machines import StandInMachines
from ._troubles import ADVISOR_TROUBLES, Troubles
from ._wire_callers import WireCallers
from ._wire_platform import SERVICE, WireLayout, WirePlatform
from .processes import wait_ready

FIRST_PORT = 21_000
EXECUTORS, INSTANCES = 6, 3
ROUTE_GAP_SECONDS = 3.0
"""Mean interval at which the route of the callers is removed or its priority changes."""
REMOVED_SECONDS = (0.2, 3.0)
"""How long the route stays away."""
GRACE_SECONDS = 6.0
RESTART_SECONDS = 0.5
READY_SECONDS = 30.0
JOBS_PER_SECOND = 4.0
SETTLE_SECONDS = 90.0
"""Limit for all accepted jobs to end after the last trouble. It only ends a soak that hangs: an
executor that can't be reached holds a job for several seconds."""
ADVISOR = AdvisorProfile(decision_seconds=0.03, executor_seconds=0.005)
ERROR_MESSAGES = (b'"message":"internal error"', b'"message":"request failed"')
"""Parts of log lines about errors that nobody foresaw."""
MAX_LOGGED_LENGTH = 600
PLATFORM_TROUBLES = (
    *ADVISOR_TROUBLES,
    "store_down",
    "store_lost",
    "store_forgets",
    "executor_crash",
    "executor_reborn",
    "executor_fails",
    "late_orders",
    "lost_orders",
)


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The results of one soak."""

    violations: list[Violation]
    states: dict[str, int]
    troubles: list[str]


class _Instance:
    """One scheduler process, which is started again whenever it has ended."""

    def __init__(self, number: int, layout: WireLayout, folder: Path, random: Random) -> None:
        self.number = number
        self._layout = layout
        self.problems: list[str] = []
        self._settings = folder / f"edge-{number}.conf"
        self._settings.write_text(layout.settings(number), "utf-8")
        self._log = folder / f"edge-{number}.log"
        self._random = random
        self._process: trio.Process | None = None
        self._is_signalled = False
        self._suspensions = 0
        self._open_suspensions = 0

    async def run(self) -> None:
        """Keep the process running until cancelled, then kill it."""
        environment = {**os.environ, "FIREFLYFORK_SETTINGS": str(self._settings)}
        command = [sys.executable, "-m", "fireflyfork.programs.scheduler"]
        while True:
            self._is_signalled = False
            with self._log.open("ab") as log:
                process = await trio.lowlevel.open_process(
                    command, env=environment, stdout=log, stderr=subprocess.STDOUT
                )
            self._process = process
            try:
                code = await process.wait()
            finally:
                if process.returncode is None:
                    process.kill()
            if not self._is_signalled:
                self.problems.append(f"edge-{self.number} ended by itself with status {code}")
            await trio.sleep(RESTART_SECONDS)

    @property
    def _is_suspended(self) -> bool:
        return self._open_suspensions > 0

    def _send(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self._is_signalled = True
        self._send(signal.SIGKILL)

    async def terminate(self) -> None:
        """Ask the process to end, which it has to do in the time that the platform allows.

        A process that is suspended meanwhile has less time, and may be killed.
        """
        process = self._process
        if process is None or self._is_signalled:
            return
        self._is_signalled = True
        was_suspended, suspensions = self._is_suspended, self._suspensions
        self._send(signal.SIGTERM)
        with trio.move_on_after(GRACE_SECONDS) as limit:
            await process.wait()
        if limit.cancelled_caught:
            if not was_suspended and self._suspensions == suspensions:
                self.problems.append(f"edge-{self.number} did not end after SIGTERM")
            process.kill()

    async def suspend(self) -> None:
        """Suspend the process for up to three seconds."""
        self._suspensions += 1
        self._open_suspensions += 1
        self._send(signal.SIGSTOP)
        try:
            await trio.sleep(self._random.uniform(0.2, 3.0))
        finally:
            self._open_suspensions -= 1
            self._send(signal.SIGCONT)

    def logged_errors(self) -> Iterator[str]:
        """Yield the errors that the processes have survived and logged."""
        for line in self._log.read_bytes().splitlines():
            if any(message in line for message in ERROR_MESSAGES):
                yield f"edge-{self.number}: {line.decode('utf-8', 'replace')[:MAX_LOGGED_LENGTH]}"

    async def hang_up(self) -> None:
        """Tell the process that its settings have changed, once it serves.

        Before that the signal ends it, for which there is a test of its own.
        """
        process = self._process
        with trio.move_on_after(READY_SECONDS):
            await wait_ready(self._layout, self.number)
            if self._process is process:
                self._send(signal.SIGHUP)


class _Soak:
    def __init__(
        self, seed: int, first_port: int, seconds: float, folder: Path, instances: int
    ) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self._instance_count = instances
        layout = WireLayout(first_port, EXECUTORS, instances, has_advisor=True)
        self._layout = layout
        self._platform = WirePlatform(layout, self._random, ADVISOR)
        fronts = tuple(map(layout.caller, range(instances)))
        history = self._platform.history
        # Its draws don't change those of the troubles.
        self._further_random = Random(f"further {seed}")
        self._further = FurtherWriters(self._further_random, self._platform.store, SERVICE)
        self._kinds = KindChanges(self._further_random, self._platform.executors)
        self._callers = WireCallers(
            fronts,
            history,
            self._random,
            keep_connections=True,
            reduced=self._further.reduced,
            labelled=self._labelled,
            early_cancels=self._further_random,
        )
        self._instances = [
            _Instance(number, layout, folder, self._random) for number in range(instances)
        ]
        executors = self._platform.executors
        self._troubles = Troubles(
            SERVICE,
            [],
            executors,
            self._platform.store,
            StandInMachines(SERVICE, executors, history, self._random),
            self._random,
            PLATFORM_TROUBLES,
            seconds,
            2.0,
            self._platform.advisor,
        )

    async def run(self) -> SoakReport:
        """Run the soak and return its report."""
        async with trio.open_nursery() as nursery:
            await self._platform.run(nursery)
            for instance in self._instances:
                nursery.start_soon(instance.run)
            with trio.fail_after(READY_SECONDS):
                for number in range(self._instance_count):
                    await wait_ready(self._layout, number)
            with trio.move_on_after(self._seconds + SETTLE_SECONDS) as limit:
                async with trio.open_nursery() as work:
                    jobs = int(self._seconds * JOBS_PER_SECOND)
                    work.start_soon(self._callers.run, jobs, JOBS_PER_SECOND)
                    work.start_soon(self._troubles.run, work)
                    work.start_soon(self._trouble_processes, work)
                    work.start_soon(self._further.write_entries, self._seconds)
                    work.start_soon(self._change_routes)
                    work.start_soon(self._kinds.run, self._seconds)
            if limit.cancelled_caught:
                self._platform.history.record_violation("finished", "jobs have not ended")
            nursery.cancel_scope.cancel()
        for instance in self._instances:
            for problem in (*instance.problems, *instance.logged_errors()):
                self._platform.history.record_violation("process", problem)
        return SoakReport(
            self._platform.history.violations, dict(self._callers.states), self._troubles.log
        )

    def _labelled(self, step: StepSpec, name: str) -> StepSpec:
        """Return a step that may require a kind of which an executor may run it."""
        advisor = self._platform.advisor
        assert advisor is not None
        return self._kinds.labelled(step, advisor.first_permitted(name))

    async def _trouble_processes(self, nursery: trio.Nursery) -> None:
        """Start series of signals and changes, which overlap."""
        end = trio.current_time() + self._seconds
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(1.0))
            action, name = self._draw_action()
            for _ in range(self._random.randint(1, 3)):
                self._troubles.log.append(f"{trio.current_time():.2f} {name}")
                nursery.start_soon(action)
                await trio.sleep(self._random.uniform(0.0, 0.4))

    def _draw_action(self) -> tuple[Callable[[], Awaitable[None]], str]:
        instance = self._random.choice(self._instances)
        actions = (instance.kill, instance.terminate, instance.suspend, instance.hang_up)
        action = self._random.choice((*actions, self._configure))
        return action, f"{action.__name__} {instance.number}"

    async def _configure(self) -> None:
        self._platform.configure()

    async def _change_routes(self) -> None:
        """Remove the route of the callers and add it again, and change its priority."""
        random = self._further_random
        end = trio.current_time() + self._seconds
        while trio.current_time() < end:
            await trio.sleep(random.expovariate(1 / ROUTE_GAP_SECONDS))
            if random.random() < 0.5:
                self._troubles.log.append(f"{trio.current_time():.2f} route removed")
                self._platform.configure(has_queue=False)
                await trio.sleep(random.uniform(*REMOVED_SECONDS))
            self._platform.configure(priority=random.choice((0, 2)))


async def run_soak(
    seed: int, first_port: int, seconds: float, folder: Path, instances: int = INSTANCES
) -> SoakReport:
    """Run processes under trouble for ``seconds``, with their settings and logs in ``folder``."""
    return await _Soak(seed, first_port, seconds, folder, instances).run()


def soak(
    *,
    seed: int = 1,
    runs: int = 1,
    seconds: float = 10.0,
    first_port: int = FIRST_PORT,
    instances: int = INSTANCES,
    logs: Path | None = None,
) -> None:
    """Run scheduler processes under trouble, once for each seed.

    :param seed: seed of the first run; each further run uses the next integer
    :param runs: number of runs
    :param seconds: duration of the traffic and of the troubles, in seconds
    :param first_port: first of the ports on the loopback address that are used
    :param instances: number of scheduler processes
    :param logs: folder in which the settings and logs of runs with violations are kept
    """
    broken = 0
    for number in range(seed, seed + runs):
        with TemporaryDirectory(prefix="fireflyfork-soak-") as name:
            folder = Path(name)
            report = trio.run(run_soak, number, first_port, seconds, folder, instances)
            if report.violations and logs is not None:
                folder.rename(logs / f"seed-{number}")
                folder.mkdir()
        broken += bool(report.violations)
        print(f"seed {number}: {len(report.troubles)} troubles, jobs {report.states}", flush=True)
        for trouble in report.troubles if report.violations else ():
            print(f"  trouble at {trouble}")
        for violation in report.violations:
            print(f"  BROKEN at {violation.at:.2f}: {violation.promise}: {violation.description}")
    print(f"{runs - broken} of {runs} runs without a violation")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    defopt.run(soak)
