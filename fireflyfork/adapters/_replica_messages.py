"""The messages between an instance and a follower of its replica."""

from __future__ import annotations

import zlib

import msgspec
import xxhash

from .._decoding import LongCount, Seconds
from .._errors import PeerError
from .._ids import NodeName, Revision
from ._coordination import StoredItem
from ._replicas import ReplicaAnswer, ReplicaQuery, Route

REPLICA_VERSION = 2
"""The version of the protocol. Instances with different versions don't follow each other."""
MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
"""A configuration consists mostly of repeated words, so the fastest level achieves most of the possible reduction."""
MAX_VALUE_BYTES = 16 << 20


class ReplicaMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Base class of all messages between an instance and a follower."""


class Hello(ReplicaMessage, frozen=True, tag=0):
    """The first message of each side."""

    version: int


class Ask(ReplicaMessage, frozen=True, tag=1):
    """A query; see ReplicaQuery."""

    after: LongCount
    mark: float | None

    @classmethod
    def of(cls, query: ReplicaQuery) -> Ask:
        """Encode a query."""
        return cls(query.after, query.mark)

    def query(self) -> ReplicaQuery:
        """Decode the query."""
        return ReplicaQuery(Revision(self.after), self.mark)


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key with its value, compressed if it is large."""

    key: str
    revision: LongCount
    created: LongCount
    checksum: int
    """The checksum (xxh3, 64 bits) of the uncompressed value, as stored."""
    compressed: bool
    content: bytes

    @classmethod
    def of(cls, item: StoredItem) -> Item:
        """Encode an item."""
        compressed = len(item.value) >= MIN_COMPRESSED_BYTES
        content = zlib.compress(item.value, COMPRESSION_LEVEL) if compressed else item.value
        checksum = xxhash.xxh3_64_intdigest(item.value)
        return cls(item.key, item.revision, item.created, checksum, compressed, content)

    def item(self) -> StoredItem:
        """Decode the item. Raises PeerError if the value is truncated or corrupt."""
        value = self._decompressed() if self.compressed else self.content
        if xxhash.xxh3_64_intdigest(value) != self.checksum:
            raise PeerError(f"the value of {self.key} at {self.revision} doesn't have its checksum")
        return StoredItem(self.key, value, Revision(self.revision), Revision(self.created))

    def _decompressed(self) -> bytes:
        decompressor = zlib.decompressobj()
        try:
            value = decompressor.decompress(self.content, MAX_VALUE_BYTES)
        except zlib.error as error:
            raise PeerError(f"the value of {self.key} can't be decompressed: {error}") from error
        if not decompressor.eof:
            raise PeerError(f"the value of {self.key} is cut off or too long")
        return value


class Update(ReplicaMessage, frozen=True, tag=2):
    """The answer to a query; see ReplicaAnswer."""

    as_of: LongCount
    age_seconds: Seconds
    waited_seconds: Seconds
    mark: float
    revisions: dict[str, LongCount]
    changed: list[Item]
    hops: list[str]
    reaches_store: bool

    def answer(self) -> ReplicaAnswer:
        """Decode the answer. Raises PeerError if a value is truncated or corrupt."""
        return ReplicaAnswer(
            Revision(self.as_of),
            self.age_seconds,
            self.waited_seconds,
            self.mark,
            {key: Revision(revision) for key, revision in self.revisions.items()},
            tuple(item.item() for item in self.changed),
            Route(tuple(NodeName(hop) for hop in self.hops), self.reaches_store),
        )


class ItemEncoder:
    """Encodes answers. Items are cached, so a value that many followers request is compressed once."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._encoded: dict[str, Item] = {}

    def update(self, answer: ReplicaAnswer) -> Update:
        """Encode an answer."""
        for key in self._encoded.keys() - answer.revisions.keys():
            del self._encoded[key]
        return Update(
            answer.as_of,
            answer.age_seconds,
            answer.waited_seconds,
            answer.mark,
            dict(answer.revisions),
            [self._item(item) for item in answer.changed],
            list(answer.route.hops),
            answer.route.reaches_store,
        )

    def _item(self, item: StoredItem) -> Item:
        cached = self._encoded.get(item.key)
        if cached is None or cached.revision != item.revision:
            cached = self._encoded[item.key] = Item.of(item)
        return cached


AnyReplicaMessage = Hello | Ask | Update
DECODER = msgspec.msgpack.Decoder(list[AnyReplicaMessage])
