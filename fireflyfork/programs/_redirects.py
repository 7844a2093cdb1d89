"""Follows a request's owner when it has moved.

A misdirected request cost no executor anything, so it is not paid from the retry budget: during a
planned move all requests that wait at the old owner are sent on at once, and the budget would run
out. The pauses give the news of the move time to arrive.
"""

from __future__ import annotations

import trio

from .._errors import MISDIRECTED_STATUS, RequestError

MOST_REDIRECTS = 5
FIRST_PAUSE_SECONDS = 0.02
_SHOWN_STATUS = 503


class Redirects:
    """The redirects of one request at one entry."""

    def __init__(self, deadline: float) -> None:
        """``deadline`` is by the event loop's clock."""
        self._deadline = deadline
        self._followed = 0

    async def follow(self, error: RequestError) -> bool:
        """Whether to look for the owner anew, after a pause."""
        if error.status != MISDIRECTED_STATUS or self._followed >= MOST_REDIRECTS:
            return False
        pause = FIRST_PAUSE_SECONDS * 2**self._followed
        if trio.current_time() + pause >= self._deadline:
            return False
        self._followed += 1
        await trio.sleep(pause)
        return True

    def final(self, error: RequestError) -> RequestError:
        """The error to go on with when ``follow`` said no; a caller is not told of owners."""
        if error.status != MISDIRECTED_STATUS:
            return error
        return RequestError(_SHOWN_STATUS, error.reason, error.verdict, error.retry_after)
