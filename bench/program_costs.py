"""Measures memory and processor time of each program at rest: ``python -m bench.program_costs``.

It starts the same processes as the demo, on the demo's ports, and applies the example configuration
``naidu``.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from fireflyfork import Address
from fireflyfork_standins.demo_settings import ENTRIES, INSTANCES, PLANNERS, STORE

from ._entry_fleet import MeasuredProcess, get_json

SETTLE_SECONDS = 25.0
REST_SECONDS = 20.0


def start_all(folder: Path) -> list[MeasuredProcess]:
    """Start the stand-ins and the programs with settings in ``folder``."""
    module = (sys.executable, "-m")
    subprocess.run([*module, "fireflyfork_standins.demo_settings", str(folder)], check=True)
    standins = "fireflyfork_standins"
    commands = {
        "store (stand-in)": (*module, f"{standins}.store", STORE),
        "instances (stand-in)": (*module, f"{standins}.instances", INSTANCES),
        "platform (stand-in)": (*module, f"{standins}.platform", str(folder / "platform.jsonc")),
        "executors (stand-in)": (*module, f"{standins}.executor", str(folder / "executors.jsonc")),
        **{
            f"{kind}-{one[0]}": (_program(kind), str(folder / f"{kind}-{one[0]}.jsonc"))
            for kind, all_of_kind in (("entry", ENTRIES), ("planner", PLANNERS))
            for one in all_of_kind
        },
    }
    return [MeasuredProcess(name, _launch(command)) for name, command in commands.items()]


async def run() -> None:
    """Start all processes, measure them at rest and print a line per process."""
    with tempfile.TemporaryDirectory(prefix="fireflyfork-bench-") as name:
        processes = start_all(Path(name))
        try:
            _apply(Path(name))
            await trio.sleep(SETTLE_SECONDS)
            await get_json(Address("127.0.0.1", ENTRIES[0][3] + 2), "/status")
            before = [process.processor_seconds for process in processes]
            await trio.sleep(REST_SECONDS)
            for process, used in zip(processes, before, strict=True):
                share = 100 * (process.processor_seconds - used) / REST_SECONDS
                print(
                    f"{process.name:22} {process.resident_megabytes:5.1f} MB resident, "
                    f"{share:4.2f}% of a core at rest"
                )
        finally:
            for process in processes:
                process.process.kill()
            for process in processes:
                process.process.wait()


def _program(kind: str) -> str:
    return str(Path(sys.executable).with_name(f"fireflyfork-{kind}"))


def _launch(command: tuple[str, ...]) -> subprocess.Popen[bytes]:
    return subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def _apply(folder: Path) -> None:
    ctl, file = _program("ctl"), str(folder / "naidu.jsonc")
    answers = "examples/naidu/answers.jsonc"
    for words in (
        ("questionnaire", "--answers", answers, "--output", file),
        ("apply", file, "--store", STORE),
    ):
        subprocess.run([ctl, *words], check=True, stdout=subprocess.DEVNULL)


def main() -> None:
    """Run the measurement."""
    trio.run(run)


if __name__ == "__main__":
    main()
