"""What is said on a stream between an instance and one that follows its replica."""

from __future__ import annotations

import zlib

import msgspec
import xxhash

from .._errors import PeerError
from .._ids import Revision
from ._coordination import StoredItem
from ._replicas import ReplicaAnswer, ReplicaQuestion

REPLICA_VERSION = 1
"""Instances of two versions that differ in it don't follow each other."""
COMPRESSED_FROM_BYTES = 1_024
COMPRESSION_LEVEL = 1
"""A configuration is mostly repeated words, so the quickest level takes most of what there is to take."""
LONGEST_VALUE_BYTES = 16 << 20


class ReplicaMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Anything that is said."""


class Hello(ReplicaMessage, frozen=True, tag=0):
    """The first message of either side."""

    version: int


class Ask(ReplicaMessage, frozen=True, tag=1):
    """See ReplicaQuestion."""

    after: int
    mark: float | None

    @classmethod
    def of(cls, question: ReplicaQuestion) -> Ask:
        """Carry a question."""
        return cls(question.after, question.mark)

    def question(self) -> ReplicaQuestion:
        """The question that it carries."""
        return ReplicaQuestion(Revision(self.after), self.mark)


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key with its value."""

    key: str
    revision: int
    created: int
    checksum: int
    """Of the value as it is in the store."""
    compressed: bool
    content: bytes

    @classmethod
    def of(cls, item: StoredItem) -> Item:
        """Carry an item."""
        compressed = len(item.value) >= COMPRESSED_FROM_BYTES
        content = zlib.compress(item.value, COMPRESSION_LEVEL) if compressed else item.value
        checksum = xxhash.xxh3_64_intdigest(item.value)
        return cls(item.key, item.revision, item.created, checksum, compressed, content)

    def item(self) -> StoredItem:
        """The item that it carries. Raises PeerError if it isn't whole."""
        value = self._decompressed() if self.compressed else self.content
        if xxhash.xxh3_64_intdigest(value) != self.checksum:
            raise PeerError(f"the value of {self.key} at {self.revision} doesn't have its checksum")
        return StoredItem(self.key, value, Revision(self.revision), Revision(self.created))

    def _decompressed(self) -> bytes:
        decompressor = zlib.decompressobj()
        try:
            value = decompressor.decompress(self.content, LONGEST_VALUE_BYTES)
        except zlib.error as error:
            raise PeerError(f"the value of {self.key} can't be decompressed: {error}") from error
        if not decompressor.eof:
            raise PeerError(f"the value of {self.key} is cut off or too long")
        return value


class Update(ReplicaMessage, frozen=True, tag=2):
    """See ReplicaAnswer."""

    as_of: int
    age_seconds: float
    waited_seconds: float
    mark: float
    revisions: dict[str, int]
    changed: list[Item]

    def answer(self) -> ReplicaAnswer:
        """The answer that it carries. Raises PeerError."""
        return ReplicaAnswer(
            Revision(self.as_of),
            self.age_seconds,
            self.waited_seconds,
            self.mark,
            {key: Revision(revision) for key, revision in self.revisions.items()},
            tuple(item.item() for item in self.changed),
        )


class ItemEncoder:
    """Turns items into messages; what many ask for is compressed once."""

    def __init__(self) -> None:
        """Nothing was encoded yet."""
        self._encoded: dict[str, Item] = {}

    def update(self, answer: ReplicaAnswer) -> Update:
        """An answer as a message."""
        for key in self._encoded.keys() - answer.revisions.keys():
            del self._encoded[key]
        return Update(
            answer.as_of,
            answer.age_seconds,
            answer.waited_seconds,
            answer.mark,
            dict(answer.revisions),
            [self._item(item) for item in answer.changed],
        )

    def _item(self, item: StoredItem) -> Item:
        known = self._encoded.get(item.key)
        if known is None or known.revision != item.revision:
            known = self._encoded[item.key] = Item.of(item)
        return known


AnyReplicaMessage = Hello | Ask | Update
DECODER = msgspec.msgpack.Decoder(list[AnyReplicaMessage])
