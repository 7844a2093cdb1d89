"""Measures the processor time of the membership service: ``python -m bench.membership_service``.

Members run on an auto-jumping clock with an in-memory store and an in-memory network, without the
sockets and codecs of peer streams. The processor time depends on this machine.
"""

from __future__ import annotations

import time

import defopt
import trio
import trio.testing

from fireflyfork.programs.tests.builders_membership import Fleet

_SETTLE_SECONDS = 30.0
_PLACES = ("viti/suva", "viti/nadi", "vanua/labasa")


async def _measure(members: int, seconds: float) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        for number in range(members):
            fleet.start(f"m{number}", _PLACES[number % len(_PLACES)], 1 + number)
        await trio.sleep(_SETTLE_SECONDS)
        fleet.store.calls.clear()
        fleet.network.messages.clear()
        began = time.process_time()
        await trio.sleep(seconds)
        used = time.process_time() - began
        questions = fleet.network.messages.total()
        print(
            f"{members} members, {seconds:.0f} s idle: {used / seconds / members:.3%} of a core"
            f" each; {questions / seconds / members:.2f} questions and offers/s each;"
            f" store calls {dict(fleet.store.calls)}",
            flush=True,
        )
        nursery.cancel_scope.cancel()


def main(*, seconds: float = 600.0) -> None:
    """Print the figures for 3, 6, 9 and 18 members.

    :param seconds: Simulated seconds per fleet.
    """
    for members in (3, 6, 9, 18):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(_measure, members, seconds, clock=clock)


if __name__ == "__main__":
    defopt.run(main)
