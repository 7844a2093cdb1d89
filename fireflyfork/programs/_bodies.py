"""The body of a request on its way through: small ones can be sent again, large ones stream."""

from __future__ import annotations

from collections.abc import AsyncIterator

from .._errors import BadRequestError

REPLAYABLE_BYTES = 64 * 1024


class RequestBody:
    """A request's body. What fits the buffer is read whole before any executor sees the request.

    A caller that sends slowly would otherwise hold an executor's slot while it sends, and an
    attempt that proved not to have run could not be repeated.
    """

    def __init__(self, source: AsyncIterator[bytes], longest: int) -> None:
        """``longest`` is in bytes; a longer body ends in BadRequestError."""
        self._source = source
        self._longest = longest
        self._head: list[bytes] = []
        self._length = 0
        self._whole = False
        self._rest_taken = False

    @property
    def replayable(self) -> bool:
        """Whether ``chunks`` can be called once more."""
        return self._whole or not self._rest_taken

    @property
    def whole(self) -> bool:
        """Whether all of it is in the buffer."""
        return self._whole

    @property
    def buffered(self) -> tuple[bytes, ...]:
        """The parts in the buffer."""
        return tuple(self._head)

    @property
    def length(self) -> int:
        """Bytes read so far."""
        return self._length

    async def fill(self) -> None:
        """Read up to the size of the buffer. Raises BadRequestError, and the source's errors."""
        while not self._whole and self._length < REPLAYABLE_BYTES:
            chunk = await anext(self._source, None)
            if chunk is None:
                self._whole = True
                return
            self._head.append(self._counted(chunk))

    async def chunks(self) -> AsyncIterator[bytes]:
        """All parts from the start."""
        for chunk in self._head:
            yield chunk
        if self._whole:
            return
        self._rest_taken = True
        async for chunk in self._source:
            yield self._counted(chunk)

    def _counted(self, chunk: bytes) -> bytes:
        self._length += len(chunk)
        if self._length > self._longest:
            raise BadRequestError(f"body over {self._longest} bytes", status=413)
        return chunk
