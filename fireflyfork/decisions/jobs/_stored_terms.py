"""The terms of queues that an owner stores for its successor."""

from __future__ import annotations

from collections.abc import Mapping

from ..._ids import QueueName
from ._queue_terms import QueueTerms


class StoredTerms:
    """Terms of queues that were changed after jobs of these queues had been accepted.

    A job carries the terms with which it was accepted. So they have to be stored apart only if they
    have changed since.
    """

    def __init__(self) -> None:
        """Initialize without terms, and without anything to store."""
        self._terms: dict[QueueName, QueueTerms] = {}
        self._changed = False

    @property
    def changed(self) -> bool:
        """Whether the terms have to be stored."""
        return self._changed

    def set(self, queue: QueueName, terms: QueueTerms) -> None:
        """Set the terms of one queue."""
        if terms != self._terms.get(queue):
            self._terms[queue] = terms
            self._changed = True

    def replace(self, terms: Mapping[QueueName, QueueTerms]) -> None:
        """Set the terms of all queues; those of queues that aren't named are removed."""
        if self._terms.keys() - terms.keys():
            self._changed = True
            self._terms = {name: each for name, each in self._terms.items() if name in terms}
        for queue, each in terms.items():
            self.set(queue, each)

    def adopt(self, terms: Mapping[QueueName, QueueTerms]) -> None:
        """Begin with the terms that an earlier owner has stored."""
        self._terms = dict(terms)

    def take(self) -> dict[QueueName, QueueTerms] | None:
        """Return the terms to store, or None if they haven't changed since the last call."""
        if not self._changed:
            return None
        self._changed = False
        return dict(self._terms)

    def put_back(self) -> None:
        """Handle a failed write of the terms, or one whose outcome is unknown."""
        self._changed = True
