"""Tests of ``fireflyfork-ctl`` from command line to output."""

import contextlib
import io
import json
import tempfile
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

from ..._ids import JobId, TaskId
from ...operations.tests.builders_answers import EXAMPLES, example_answers, example_text
from ...operations.tests.builders_replies import replies_for
from .. import _ctl_configuration, _ctl_entries, _ctl_jobs, _ctl_status
from .._batch_client import BatchCallError
from .._batch_messages import BatchProblem, JobStatus, TaskExplanation, TaskFailure
from .._ctl_output import CommandError, ExitCode
from ..ctl import commands, run
from .builders_store import Fault, MemoryStore

STORE = ["--store", "127.0.0.1:1"]


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The exit code and output of a command."""

    code: int
    out: str
    error: str

    @property
    def json_output(self) -> Any:
        """The JSON output."""
        return json.loads(self.out)


def ctl(*words: str, standard_input: str = "") -> CommandResult:
    """Run one command line and capture its output."""
    out, error = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(error),
        mock.patch("sys.stdin", io.StringIO(standard_input)),
        mock.patch.dict("os.environ", clear=True),
    ):
        try:
            code = int(run(list(words)))
        except SystemExit as ended:
            code = int(ended.code or 0)
    return CommandResult(code, out.getvalue(), error.getvalue())


@contextlib.contextmanager
def using_store(store: MemoryStore) -> Iterator[None]:
    """Make the commands use ``store`` for every address."""
    with mock.patch.object(_ctl_configuration, "HttpStore", return_value=store):
        yield


class CtlTest(unittest.TestCase):
    """Base of tests that need a directory with the generated Naidu configuration."""

    def setUp(self) -> None:
        """Generate the file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.file = self.directory / "naidu.jsonc"
        self.answers = str(EXAMPLES / "naidu" / "answers.jsonc")
        self.generate()

    def generate(self) -> CommandResult:
        """Generate the file from the answers of the Naidu example."""
        words = ["--answers", self.answers, "--output", str(self.file)]
        return ctl("questionnaire", *words)

    def edit(self, old: str, new: str) -> None:
        """Replace ``old`` by ``new`` in the file, as an operator would."""
        text = self.file.read_text("utf-8")
        self.assertIn(old, text)
        self.file.write_text(text.replace(old, new, 1), "utf-8")


class HelpTest(unittest.TestCase):
    """Help and errors about the command line."""

    def test_every_command_has_help_with_an_example(self) -> None:
        """The help of every command contains an example call."""
        for name in commands():
            with self.subTest(name):
                ended = ctl(name, "--help")
                self.assertEqual(ended.code, 0)
                self.assertIn(f"    fireflyfork-ctl {name}", ended.out)

    def test_bad_command_lines(self) -> None:
        """A bad command line gives exit code 2 and a message that names the problem."""
        cases = [
            (["apply"], "required: file"),
            (["nonsense"], "invalid choice"),
            (["apply", "f", "--store", "desk:1"], "IP-number:port"),
            (["submit", "j", "--team", "t", "--cores", "1 horse"], "one of the units"),
            (["show"], "FIREFLYFORK_STORE"),
            (["status"], "FIREFLYFORK_ENTRIES"),
            (["explain", "j"], "FIREFLYFORK_PLANNERS"),
        ]
        for words, message in cases:
            with self.subTest(words=words):
                ended = ctl(*words)
                self.assertEqual(ended.code, ExitCode.USAGE)
                self.assertIn(message, ended.error)


class QuestionnaireTest(CtlTest):
    """The command ``questionnaire``."""

    def test_generating_again_changes_nothing(self) -> None:
        """The same answers give the same file, including its version."""
        self.edit('"version": 0', '"version": 7')
        before = self.file.read_text("utf-8")
        self.assertEqual(self.generate().code, 0)
        self.assertEqual(self.file.read_text("utf-8"), before)

    def test_manual_edits_are_listed(self) -> None:
        """A manual edit of the generated file is listed when generating again overwrites it."""
        self.edit('"longest_queue": 64', '"longest_queue": 16')
        self.assertIn("~ services[booking-desk].longest_queue: 16 -> 64", self.generate().out)
        self.assertNotIn("~", self.generate().out)

    def test_at_the_terminal(self) -> None:
        """Typed answers are saved and give the same configuration as the example's answers file."""
        typed = "\n".join(replies_for(example_answers("naidu"))) + "\n"
        output = self.directory / "typed.jsonc"
        ended = ctl("questionnaire", "--output", str(output), standard_input=typed)
        self.assertEqual(ended.code, 0, ended.error)
        body = output.read_text("utf-8").split("{", 1)[1]
        self.assertEqual(body, self.file.read_text("utf-8").split("{", 1)[1])
        self.assertTrue((self.directory / "typed.answers.jsonc").exists())

    def test_input_ends_early(self) -> None:
        """If the input ends half way, no partial file is written."""
        output = self.directory / "typed.jsonc"
        ended = ctl("questionnaire", "--output", str(output), standard_input="Naidu\nyes\n")
        self.assertEqual(ended.code, ExitCode.USAGE)
        self.assertEqual([path.name for path in self.directory.iterdir()], ["naidu.jsonc"])

    def test_unusable_answers(self) -> None:
        """Every violation is listed, and no file is written."""
        bad = self.directory / "bad.jsonc"
        text = example_text("naidu").replace('"127.0.0.1:9101"', '"desk:1"')
        bad.write_text(text, "utf-8")
        output = self.directory / "out.jsonc"
        ended = ctl("questionnaire", "--answers", str(bad), "--output", str(output))
        self.assertEqual(ended.code, ExitCode.USAGE)
        self.assertIn("services[0].executors[0]", ended.out)
        self.assertFalse(output.exists())


class ConfigurationTest(CtlTest):
    """The commands ``check``, ``apply``, ``show``, ``history`` and ``rollback``."""

    def test_check(self) -> None:
        """Checks a valid file, a file that breaks two rules, and two unreadable files."""
        self.assertEqual(ctl("check", str(self.file)).code, ExitCode.DONE)
        self.edit('"longest_queue": 64', '"longest_queue": -1')
        self.edit('"spill_share": 0.2', '"spill_share": 20')
        ended = ctl("check", str(self.file), "--json")
        self.assertEqual(ended.code, ExitCode.INVALID)
        paths = [violation["path"] for violation in ended.json_output["violations"]]
        self.assertEqual(paths, ["services[0].longest_queue", "links[0].spill_share"])
        self.edit('"longest_queue": -1', '"longest_queue": "no"')
        self.assertEqual(ctl("check", str(self.file)).code, ExitCode.USAGE)
        self.assertEqual(ctl("check", "absent.jsonc").code, ExitCode.USAGE)

    def test_apply_history_rollback(self) -> None:
        """An operator applies a file, changes it, reads the history and rolls the change back."""
        store = MemoryStore()
        with using_store(store):
            dry = ctl("apply", str(self.file), *STORE, "--dry-run")
            self.assertEqual((dry.code, store.values), (ExitCode.DONE, {}))
            self.assertEqual(ctl("apply", str(self.file), *STORE).code, ExitCode.DONE)
            self.assertIn('"version": 1', self.file.read_text("utf-8"))
            again = ctl("apply", str(self.file), *STORE, "--json").json_output
            self.assertEqual((again["outcome"], again["version"]), ("unchanged", 1))
            self.edit('"longest_queue": 64', '"longest_queue": 32')
            changed = ctl(
                "apply", str(self.file), *STORE, "--note", "shorter", "--json"
            ).json_output
            self.assertEqual(changed["version"], 2)
            (difference,) = changed["differences"]
            self.assertEqual(difference["path"], "services[booking-desk].longest_queue")
            back = ctl("rollback", "1", *STORE, "--json").json_output
            self.assertEqual(back["version"], 3)
            rows = ctl("history", *STORE, "--json").json_output
            self.assertEqual([row["version"] for row in rows], [1, 2, 3])
            self.assertEqual(rows[1]["note"], "shorter")
            shown = ctl("show", *STORE, "--version", "2", "--json").json_output
            self.assertEqual(shown["services"][0]["longest_queue"], 32)
            self.assertEqual(ctl("rollback", "9", *STORE).code, ExitCode.NOT_FOUND)

    def test_two_operators(self) -> None:
        """Two operators start from version 1, and the second is shown what the first changed.

        Without this check, the second change would silently overwrite the first.
        """
        store = MemoryStore()
        with using_store(store):
            ctl("apply", str(self.file), *STORE)
            own = self.file.read_text("utf-8")
            self.edit('"longest_queue": 64', '"longest_queue": 32')
            ctl("apply", str(self.file), *STORE)
            self.file.write_text(own, "utf-8")
            self.edit('"spill_share": 0.2', '"spill_share": 0.5')
            ended = ctl("apply", str(self.file), *STORE)
            self.assertEqual(ended.code, ExitCode.CONFLICT)
            self.assertIn("~ services[booking-desk].longest_queue: 64 -> 32", ended.error)
            self.assertIn("--base 2", ended.error)
            self.assertEqual(ctl("history", *STORE, "--json").json_output[-1]["version"], 2)
            self.assertEqual(ctl("apply", str(self.file), *STORE, "--base", "2").code, 0)

    def test_invalid_and_forbidden_changes(self) -> None:
        """Invalid files, and changes that are forbidden while entries run, never reach the store."""
        store = MemoryStore()
        with using_store(store):
            ctl("apply", str(self.file), *STORE)
            self.edit('"partitions_per_region": 32', '"partitions_per_region": 64')
            ended = ctl("apply", str(self.file), *STORE)
            self.assertEqual(ended.code, ExitCode.INVALID)
            self.assertIn("partitions_per_region", ended.error)
            self.edit('"partitions_per_region": 64', '"partitions_per_region": 0')
            self.assertEqual(ctl("apply", str(self.file), *STORE).code, ExitCode.INVALID)
            self.assertEqual(ctl("history", *STORE, "--json").json_output[-1]["version"], 1)

    def test_unusual_values(self) -> None:
        """A valid value in the wrong unit is rejected unless the operator accepts unusual values.

        Otherwise a value such as 1024 bytes for 1 MiB would go unnoticed until a request fails.
        """
        store = MemoryStore()
        with using_store(store):
            ctl("apply", str(self.file), *STORE)
            self.edit('"longest_body_bytes": 1048576', '"longest_body_bytes": 1024')
            self.edit('"slots": 8', '"slots": 9')
            ended = ctl("apply", str(self.file), *STORE)
            self.assertEqual(ended.code, ExitCode.INVALID)
            self.assertIn("services[booking-desk].longest_body_bytes", ended.error)
            self.assertIn("targets[booking-desk-suva-1].slots", ended.error)
            dry = ctl("apply", str(self.file), *STORE, "--dry-run")
            self.assertEqual(dry.code, ExitCode.DONE)
            self.assertIn("unusual", dry.error)
            accepted = ctl("apply", str(self.file), *STORE, "--accept-unusual")
            self.assertEqual(accepted.code, ExitCode.DONE)
            self.assertEqual(ctl("rollback", "1", *STORE).code, ExitCode.DONE)

    def test_store_down(self) -> None:
        """Each command reports that the store is down and that nothing was changed."""
        down = [Fault.REFUSED] * 50
        for words in (["apply", str(self.file)], ["show"], ["history"], ["rollback", "1"]):
            with self.subTest(words=words), using_store(MemoryStore(down)):
                ended = ctl(*words, *STORE)
                self.assertEqual(ended.code, ExitCode.UNAVAILABLE)
                self.assertIn("nothing was changed", ended.error)

    def test_store_down_during_a_change(self) -> None:
        """The store applies a change and goes down; the message says that it may have taken effect."""
        store = MemoryStore([Fault.NONE, Fault.ANSWER_LOST, *[Fault.REFUSED] * 50])
        with using_store(store):
            ended = ctl("apply", str(self.file), *STORE, "--patience", "0.1", "--json")
        self.assertEqual(ended.code, ExitCode.UNKNOWN)
        error = json.loads(ended.error.splitlines()[-1])
        self.assertIn("may have taken effect", error["error"])
        self.assertIn("applying the same file again is safe", error["hint"])
        with using_store(store):
            store.faults.clear()
            again = ctl("apply", str(self.file), *STORE, "--json").json_output
        self.assertEqual((again["outcome"], again["version"]), ("unchanged", 1))


class TraceTest(CtlTest):
    """The command ``trace``."""

    def test_from_files_and_standard_input(self) -> None:
        """A trace is shown from a directory, a file or a pipe; an unknown trace is not found."""
        line = json.dumps(
            {
                "name": "request",
                "trace_id": "f" * 32,
                "span_id": "a" * 16,
                "parent_id": "",
                "process": "entry-1",
                "start": 1.0,
                "duration": 0.5,
            }
        )
        spans = self.directory / "spans"
        spans.mkdir()
        (spans / "entry-1.jsonl").write_text(f"log line\n{line}\n", "utf-8")
        for words, piped in (([str(spans)], ""), ([str(spans / "entry-1.jsonl")], ""), ([], line)):
            with self.subTest(words=words):
                ended = ctl("trace", "f" * 32, *words, standard_input=piped)
                self.assertIn("request at entry-1: +0.0 ms, 500.0 ms", ended.out)
        self.assertEqual(ctl("trace", "0" * 32, str(spans)).code, ExitCode.NOT_FOUND)
        self.assertEqual(ctl("trace", "0" * 32, "absent").code, ExitCode.USAGE)


class SchedulersTest(unittest.TestCase):
    """The command ``status`` on schedulers."""

    def test_a_scheduler_that_does_not_answer(self) -> None:
        """A scheduler that can't be reached is shown as such, and the exit status says so."""
        ended = ctl("status", "--schedulers", "127.0.0.1:1")
        self.assertEqual(ended.code, ExitCode.UNAVAILABLE)
        self.assertIn("no answer", ended.out)


class FakeEntries:
    """A fake of ``_call`` that takes the entries' answers from a dictionary."""

    def __init__(self, answers: dict[tuple[str, str], tuple[int, bytes]]) -> None:
        self._answers = answers

    async def call(self, address: object, method: str, target: str) -> tuple[int, bytes]:
        """Return the stored answer. Raises CommandError if there is none."""
        answer = self._answers.get((str(address), f"{method} {target}"))
        if answer is None:
            raise CommandError(ExitCode.UNAVAILABLE, f"the entry at {address} can't be reached")
        return answer


class EntriesTest(unittest.TestCase):
    """The commands ``status``, ``metrics`` and ``drain`` on entries."""

    def setUp(self) -> None:
        """Fake an entry that answers everything and one that only refuses to drain."""
        desk = {"own_targets": ["desk-1", "desk-2"], "free_slots": 16, "queued": 3}
        status = {"member": "entry-1-ab", "configuration_version": 4, "services": {"desk": desk}}
        first = "127.0.0.1:1"
        answers = {
            (first, "GET /readyz"): (200, b'{"ready": true, "reason": ""}'),
            (first, "GET /status"): (200, json.dumps(status).encode()),
            (first, "GET /metrics"): (200, b'calls_total{service="desk"} 3\n'),
            (first, "POST /drain"): (202, b"{}"),
            ("127.0.0.1:3", "POST /drain"): (404, b"{}"),
        }
        patch = mock.patch.object(_ctl_entries, "_call", FakeEntries(answers).call)
        patch.start()
        self.addCleanup(patch.stop)

    def test_status(self) -> None:
        """An unreachable entry is shown along with a reachable entry."""
        ended = ctl("status", "--entries", "127.0.0.1:1", "127.0.0.1:2")
        self.assertEqual(ended.code, ExitCode.DONE)
        first, second = ended.out.splitlines()[1:]
        self.assertEqual(first.split(), ["127.0.0.1:1", "entry-1-ab", "yes", "4", "2", "16", "3"])
        self.assertIn("no: no answer", second)
        self.assertEqual(ctl("status", "--entries", "127.0.0.1:2").code, ExitCode.UNAVAILABLE)

    def test_version_in_force(self) -> None:
        """``--version`` succeeds only if every entry has that version in force."""
        cases = [
            (["127.0.0.1:1"], "4", ExitCode.DONE),
            (["127.0.0.1:1"], "5", ExitCode.FAILED),
            (["127.0.0.1:1", "127.0.0.1:2"], "4", ExitCode.FAILED),
        ]
        for entries, version, code in cases:
            with self.subTest(entries=entries, version=version):
                ended = ctl("status", "--entries", *entries, "--version", version)
                self.assertEqual(ended.code, code)

    def test_apply_waits_until_it_is_in_force(self) -> None:
        """``apply`` fails if a named entry does not have the accepted version in force.

        Otherwise an operator would leave while part of the fleet still uses the old version.
        """
        cases = [(["127.0.0.1:1"], ExitCode.DONE), (["127.0.0.1:2"], ExitCode.FAILED)]
        for entries, code in cases:
            with self.subTest(entries=entries), tempfile.TemporaryDirectory() as directory:
                file = str(Path(directory) / "naidu.jsonc")
                answers = str(EXAMPLES / "naidu" / "answers.jsonc")
                ctl("questionnaire", "--answers", answers, "--output", file)
                with (
                    using_store(MemoryStore()),
                    mock.patch.object(_ctl_configuration, "_IN_FORCE_SECONDS", 0.0),
                ):
                    ended = ctl("apply", file, *STORE, "--entries", *entries)
                self.assertEqual(ended.code, code)
                self.assertIn("accepted: version 1", ended.out)

    def test_metrics(self) -> None:
        """Metrics are printed as a table, as JSON and unchanged."""
        entries = ["--entries", "127.0.0.1:1"]
        self.assertIn("calls_total", ctl("metrics", *entries).out)
        (sample,) = ctl("metrics", *entries, "--json").json_output["entries"]["127.0.0.1:1"]
        self.assertEqual(sample["value"], 3.0)
        raw = ctl("metrics", *entries, "--raw").out
        self.assertEqual(raw.strip(), 'calls_total{service="desk"} 3')

    def test_drain(self) -> None:
        """Drains an entry that accepts, one without the endpoint and an unreachable one."""
        cases = [
            ("127.0.0.1:1", ExitCode.DONE),
            ("127.0.0.1:3", ExitCode.REFUSED),
            ("127.0.0.1:2", ExitCode.UNAVAILABLE),
        ]
        for address, code in cases:
            with self.subTest(address):
                self.assertEqual(ctl("drain", address).code, code)

    def test_drain_and_wait(self) -> None:
        """``--wait`` succeeds for an entry that ends and fails for an entry that keeps running."""
        drained = "127.0.0.1:4"
        answers = {(drained, "POST /drain"): (202, b"{}")}
        with mock.patch.object(_ctl_entries, "_call", FakeEntries(answers).call):
            ended = ctl("drain", drained, "--wait", "5")
        self.assertEqual((ended.code, "ended" in ended.out), (ExitCode.DONE, True))
        hanging = ctl("drain", "127.0.0.1:1", "--wait", "0.01")
        self.assertEqual(hanging.code, ExitCode.FAILED)
        self.assertIn("still owns 2 targets", hanging.error)


class FakePlanners:
    """A client of a planner whose only job ends at the third status call, or whose calls all fail."""

    def __init__(
        self,
        error: BatchCallError | None = None,
        state: str = "finished",
        failed_status_calls: int = 0,
    ) -> None:
        self._error = error
        self._silent_looks = failed_status_calls
        self._status_calls = 0
        self._state = state

    def _job(self, state: str) -> JobStatus:
        if self._error is not None:
            raise self._error
        failures = (TaskFailure(TaskId("letters/1"), "too large"),) if state == "failed" else ()
        return JobStatus(JobId("letters"), state, 2, {"running": 2}, 1.0, failures)

    async def submit(self, job: object) -> JobStatus:
        """Return the job as open."""
        return self._job("open")

    async def cancel(self, job_id: str, index: int | None = None) -> JobStatus:
        """Return the job as cancelled."""
        return self._job("cancelled")

    async def status(self, job_id: str) -> JobStatus:
        """Return the job as open for the first two calls; fail for ``failed_status_calls`` calls."""
        self._status_calls += 1
        if self._status_calls <= self._silent_looks:
            raise BatchCallError(BatchProblem("connection refused"), None)
        return self._job(self._state if self._status_calls > 2 else "open")

    async def jobs(self) -> tuple[JobStatus, ...]:
        """Return the only job."""
        return (self._job("open"),)

    async def explain(self, job_id: str, index: int) -> TaskExplanation:
        """Return why the job's task waits."""
        self._job("open")
        return TaskExplanation(TaskId("letters/0"), "waiting", "waits for memory", evictions=2)


class JobsTest(unittest.TestCase):
    """The commands ``submit``, ``cancel``, ``explain`` and ``status`` on jobs."""

    PLANNERS = ("--planners", "127.0.0.1:1")
    SUBMIT = ("submit", "letters", "--team", "letters", "--cores", "2", "--memory", "4GB",
              "--run-time", "3s", *PLANNERS)  # fmt: skip

    def run_with(self, planners: FakePlanners, *words: str) -> CommandResult:
        """Run a command against a fake planner, without pauses."""
        with (
            mock.patch.object(_ctl_jobs, "BatchClient", return_value=planners),
            mock.patch.object(_ctl_status, "BatchClient", return_value=planners),
            mock.patch.object(_ctl_jobs, "_POLL_SECONDS", 0.0),
        ):
            return ctl(*words)

    def test_submit_and_wait(self) -> None:
        """``--wait`` prints progress, and the exit code tells whether the job finished."""
        ended = self.run_with(FakePlanners(), *self.SUBMIT, "--wait", "60")
        self.assertEqual(ended.code, ExitCode.DONE)
        self.assertEqual(ended.error.count("letters: 2 running"), 2)
        failed = self.run_with(FakePlanners(state="failed"), *self.SUBMIT, "--wait", "60")
        self.assertEqual(failed.code, ExitCode.FAILED)
        self.assertIn("task letters/1: too large", failed.out)

    def test_other_commands(self) -> None:
        """Status, cancel and explain print what the planner returns."""
        planners = FakePlanners()
        self.assertIn("open", self.run_with(planners, "status", "letters", *self.PLANNERS).out)
        listed = self.run_with(planners, "status", *self.PLANNERS, "--json").json_output
        self.assertEqual(listed["jobs"][0]["job_id"], "letters")
        self.assertIn("cancelled", self.run_with(planners, "cancel", "letters", *self.PLANNERS).out)
        explanation = self.run_with(planners, "explain", "letters", *self.PLANNERS).out
        self.assertIn("waits for memory", explanation)
        self.assertIn("evicted 2 times", explanation)

    def test_a_planner_restarts_during_the_wait(self) -> None:
        """``--wait`` continues while a planner restarts."""
        planners = FakePlanners(failed_status_calls=2)
        ended = self.run_with(planners, "status", "letters", *self.PLANNERS, "--wait", "60")
        self.assertEqual(ended.code, ExitCode.DONE, ended.error)
        self.assertEqual(ended.error.count("no answer from a planner"), 2)

    def test_unreachable_planner(self) -> None:
        """Status lists a planner that does not answer, and fails if no planner answers."""
        error = BatchCallError(BatchProblem("connection refused"), None)
        ended = self.run_with(FakePlanners(error), "status", *self.PLANNERS)
        self.assertIn("planner 127.0.0.1:1: connection refused", ended.out)
        self.assertEqual(ended.code, ExitCode.UNAVAILABLE)

    def test_planner_failures(self) -> None:
        """Each kind of failure has its own exit code and message.

        A failed connection and a lost answer look alike to the operator. If a job that may be
        stored were reported as not stored, the operator would submit it again under another id and
        it would run twice.
        """
        cases = [
            (BatchProblem("no worker can hold it"), 409, ExitCode.REFUSED, "no worker"),
            (BatchProblem("there is no job"), 404, ExitCode.NOT_FOUND, "no job"),
            (BatchProblem("no planner answered"), None, ExitCode.UNAVAILABLE, "nothing was"),
            (BatchProblem("silent", "unknown"), None, ExitCode.UNKNOWN, "may have been stored"),
        ]
        for problem, http_status, code, message in cases:
            with self.subTest(problem.error):
                planners = FakePlanners(BatchCallError(problem, http_status))
                ended = self.run_with(planners, *self.SUBMIT)
                self.assertEqual(ended.code, code)
                self.assertIn(message, ended.error)
