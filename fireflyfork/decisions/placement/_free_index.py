"""Workers by free processor time, so that a start need not look at every worker."""

from __future__ import annotations

from collections.abc import Iterator

_BUCKET_MILLICORES = 1000
_BUCKET_COUNT = 129
_STRIDE = 7919
"""A prime, so that successive starts begin at scattered places within a bucket."""


class FreeIndex:
    """Buckets of worker numbers by whole free cores. Each update and each step costs O(1)."""

    def __init__(self) -> None:
        """Start empty."""
        self._buckets: list[list[int]] = [[] for _ in range(_BUCKET_COUNT)]
        self._place: dict[int, tuple[int, int]] = {}
        self._turn = 0

    def put(self, number: int, free_millicores: int) -> None:
        """Add a worker or move it to the bucket of its free processor time."""
        bucket = _bucket_of(free_millicores)
        place = self._place.get(number)
        if place is not None:
            if place[0] == bucket:
                return
            self.remove(number)
        members = self._buckets[bucket]
        self._place[number] = (bucket, len(members))
        members.append(number)

    def remove(self, number: int) -> None:
        """Take a worker out; the last of its bucket takes its place."""
        place = self._place.pop(number, None)
        if place is None:
            return
        bucket, position = place
        members = self._buckets[bucket]
        last = members.pop()
        if last != number:
            members[position] = last
            self._place[last] = (bucket, position)

    def candidates(self, millicores: int) -> Iterator[int]:
        """Workers that may have so much free, the fullest first, each bucket from a new place."""
        self._turn += _STRIDE
        for bucket in range(_bucket_of(millicores), _BUCKET_COUNT):
            members = self._buckets[bucket]
            if not members:
                continue
            start = self._turn % len(members)
            yield from members[start:]
            yield from members[:start]


def _bucket_of(millicores: int) -> int:
    return min(max(millicores, 0) // _BUCKET_MILLICORES, _BUCKET_COUNT - 1)
