"""Redirects requests whose owner has moved.

A misdirected request has used no executor, so a redirect is not charged to the retry budget. During
a planned move all requests that wait at the old owner are redirected at the same time, which would
exhaust the budget. The pauses give the new fleet record time to arrive.
"""

from __future__ import annotations

import trio

from .._errors import MISDIRECTED_STATUS, RequestError

MAX_REDIRECTS = 5
FIRST_PAUSE_SECONDS = 0.02
_CALLER_STATUS = 503


class Redirects:
    """Counts and limits the redirects of one request at one entry."""

    def __init__(self, deadline: float) -> None:
        """``deadline`` is in the event loop's time."""
        self._deadline = deadline
        self._followed = 0

    async def follow(self, error: RequestError) -> bool:
        """Pause and return True if the owner should be looked up again, else return False.

        Returns False at once for an error other than a misdirection, after ``MAX_REDIRECTS``
        redirects, or if the deadline would pass during the pause.
        """
        if error.status != MISDIRECTED_STATUS or self._followed >= MAX_REDIRECTS:
            return False
        pause = FIRST_PAUSE_SECONDS * 2**self._followed
        if trio.current_time() + pause >= self._deadline:
            return False
        self._followed += 1
        await trio.sleep(pause)
        return True

    def final_error(self, error: RequestError) -> RequestError:
        """Return the error to raise if ``follow`` returned False.

        Callers don't get the internal status of a misdirection.
        """
        if error.status != MISDIRECTED_STATUS:
            return error
        return RequestError(_CALLER_STATUS, error.reason, error.verdict, error.retry_after)
