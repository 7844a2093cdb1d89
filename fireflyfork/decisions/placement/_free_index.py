"""Indexes workers by free processor time, so a start doesn't need to examine every worker."""

from __future__ import annotations

from collections.abc import Iterator

_BUCKET_MILLICORES = 1000
_BUCKET_COUNT = 129
_STRIDE = 7919
"""A prime, which scatters the positions at which successive searches enter a bucket."""


class FreeIndex:
    """Buckets of worker numbers by whole free cores.

    An update and a step of a search each take constant time.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._buckets: list[list[int]] = [[] for _ in range(_BUCKET_COUNT)]
        self._positions: dict[int, tuple[int, int]] = {}
        self._offset = 0

    def put(self, number: int, free_millicores: int) -> None:
        """Add a worker, or move it, to the bucket of its free processor time."""
        bucket = _bucket_of(free_millicores)
        place = self._positions.get(number)
        if place is not None:
            if place[0] == bucket:
                return
            self.remove(number)
        members = self._buckets[bucket]
        self._positions[number] = (bucket, len(members))
        members.append(number)

    def remove(self, number: int) -> None:
        """Remove a worker. The last worker of the bucket moves to its position."""
        place = self._positions.pop(number, None)
        if place is None:
            return
        bucket, position = place
        members = self._buckets[bucket]
        last = members.pop()
        if last != number:
            members[position] = last
            self._positions[last] = (bucket, position)

    def candidates(self, millicores: int) -> Iterator[int]:
        """Yield workers that may have ``millicores`` free, buckets with the least free time first.

        Each search enters the buckets at a new position.
        """
        self._offset += _STRIDE
        for bucket in range(_bucket_of(millicores), _BUCKET_COUNT):
            members = self._buckets[bucket]
            if not members:
                continue
            start = self._offset % len(members)
            yield from members[start:]
            yield from members[:start]


def _bucket_of(millicores: int) -> int:
    return min(max(millicores, 0) // _BUCKET_MILLICORES, _BUCKET_COUNT - 1)
