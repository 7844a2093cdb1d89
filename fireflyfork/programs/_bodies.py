"""Request bodies: small bodies are buffered and can be sent again, large ones are streamed."""

from __future__ import annotations

from collections.abc import AsyncIterator

from .._errors import BadRequestError

MAX_REPLAYABLE_BYTES = 64 * 1024


class RequestBody:
    """The body of one request, buffered up to ``MAX_REPLAYABLE_BYTES``.

    The buffer is filled before the request is dispatched. Otherwise a slow caller would hold an
    executor's slot while it sends, and an attempt that is proved not to have run could not be
    repeated.
    """

    def __init__(self, source: AsyncIterator[bytes], max_bytes: int) -> None:
        """Read from ``source``; a body of more than ``max_bytes`` raises BadRequestError."""
        self._source = source
        self._max_bytes = max_bytes
        self._head: list[bytes] = []
        self._length = 0
        self._complete = False
        self._streamed = False

    @property
    def replayable(self) -> bool:
        """Whether ``chunks`` can be called again."""
        return self._complete or not self._streamed

    @property
    def is_complete(self) -> bool:
        """Whether the entire body is in the buffer."""
        return self._complete

    @property
    def buffered(self) -> tuple[bytes, ...]:
        """The buffered chunks."""
        return tuple(self._head)

    @property
    def length(self) -> int:
        """The number of bytes read so far."""
        return self._length

    async def fill(self) -> None:
        """Fill the buffer. Raises BadRequestError, and the errors of the source."""
        while not self._complete and self._length < MAX_REPLAYABLE_BYTES:
            chunk = await anext(self._source, None)
            if chunk is None:
                self._complete = True
                return
            self._head.append(self._checked(chunk))

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield all chunks from the start of the body."""
        for chunk in self._head:
            yield chunk
        if self._complete:
            return
        self._streamed = True
        async for chunk in self._source:
            yield self._checked(chunk)

    def _checked(self, chunk: bytes) -> bytes:
        self._length += len(chunk)
        if self._length > self._max_bytes:
            raise BadRequestError(f"body over {self._max_bytes} bytes", status=413)
        return chunk
