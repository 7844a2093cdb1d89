"""Request bodies: small bodies are buffered and can be sent again, large ones are streamed."""

from __future__ import annotations

from collections.abc import AsyncIterator

from .._errors import BadRequestError

REPLAYABLE_BYTES = 64 * 1024


class RequestBody:
    """The body of one request, buffered up to ``MAX_REPLAYABLE_BYTES``.

    The buffer is filled before the request is dispatched. Otherwise a slow caller would hold an
    executor's slot while it sends, and an attempt that is proved not to have run could not be
    repeated.
    """

    def __init__(self, source: AsyncIterator[bytes], longest: int) -> None:
        """Read from ``source``; a body of more than ``max_bytes`` raises BadRequestError."""
        self._source = source
        self._longest = longest
        self._head: list[bytes] = []
        self._length = 0
        self._whole = False
        self._rest_taken = False

    @property
    def replayable(self) -> bool:
        """Whether ``chunks`` can be called again."""
        return self._whole or not self._rest_taken

    @property
    def whole(self) -> bool:
        """Whether the entire body is in the buffer."""
        return self._whole

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
        while not self._whole and self._length < REPLAYABLE_BYTES:
            chunk = await anext(self._source, None)
            if chunk is None:
                self._whole = True
                return
            self._head.append(self._counted(chunk))

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield all chunks from the start of the body."""
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
