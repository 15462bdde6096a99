# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A shard's log in the platform's store; its last writer owns the shard.

An entry is one key. It is created only if the key does not exist and the
previous entry is unchanged. The second condition is needed because old entries
are trimmed: without it, an owner that was paused for long would find its stale
entry number unused and believe that it still owns the shard. For the same
reason entry 0 is never trimmed.

An append whose answer was lost is resolved by reading the key back: it holds
our entry (recognized by its nonce), nothing (the same bytes are sent again
under the same key), or the entry of another writer (this one is deposed).
Ownership is lost in no other way, and no lease has to be renewed.
"""

import collections
import dataclasses
import itertools
import logging
import zlib

import msgpack
import result

from portwharf.core import codec
from portwharf.core import ids
from portwharf.core import logs
from portwharf.scheduler import events
from portwharf import store

LOG = logging.getLogger(__name__)

# Largest number of entries read in one call.
READ_MAX_ENTRIES = 200
# Size limit of an entry, well under that of the store.
MAX_ENTRY_BYTES = 700_000
SNAPSHOT_CHUNK_BYTES = 700_000
# Entries deleted at a time, as the owner decides nothing meanwhile.
TRIM_ENTRIES = 32
_MAX_READ_ATTEMPTS = 5
# The fastest level is enough, as events repeat names and reasons: an entry of
# 2 KB shrinks to a sixth, in 0.04 ms. All sides read the log at once after a
# power loss, so its size matters: uncompressed, 2.4 MB for each of 76 sides
# took 2 s on the store's link of 1 Gbit/s.
_COMPRESSION_LEVEL = 1
# First byte of a zlib stream, which no msgpack map starts with.
_ZLIB_FIRST_BYTE = 0x78


@dataclasses.dataclass(slots=True)
class Deposed:
    """Another process has written the entry that we would have written."""

    seq: int = 0


@dataclasses.dataclass(slots=True)
class Stalled:
    """The store did not confirm an append, which can be retried."""

    text: str = ''


@dataclasses.dataclass(slots=True)
class SnapshotHead:
    """Names the snapshot in force: the state after entry ``seq``.

    :param chunks: the number of chunks of the state
    :param aside: the number of chunks of the part that only an owner reads
    """

    seq: int = 0
    chunks: int = 0
    aside: int = 0


@dataclasses.dataclass(slots=True)
class Contents:
    """The contents of a log.

    :param snapshot: packed state after entry ``seq``, or b''
    :param aside: the part of the snapshot that only an owner reads, or b''
    :param seq: the number of the last entry
    :param batches: the events of each entry after the snapshot
    :param empty: the log has no entries
    """

    snapshot: bytes = b''
    aside: bytes = b''
    seq: int = 0
    batches: list = dataclasses.field(default_factory=list)
    empty: bool = False


def count_fitting_events(batch):
    """Return how many leading events fit into one entry, at least 1."""
    size = 0
    for count, row in enumerate(events.write_events(batch)):
        size += len(msgpack.packb(row))
        if count and size > MAX_ENTRY_BYTES:
            return count
    return len(batch)


class ShardLog:
    """One shard's log, as read and appended to by one process."""

    def __init__(self, kv, shard):
        """Take the store and the shard's number."""
        self._kv = kv
        self._shard = shard
        self._prefix = f'shards/{shard:04d}/'
        # The last known entry; the next append requires that it is unchanged.
        self._last_entry = None
        self._next_seq = 0
        self._snapshot_head = None
        self._pending = None
        # Ranges of keys, as (first, end), that the last snapshot replaces.
        self._replaced = collections.deque()

    @property
    def next_seq(self):
        """The number of the next entry."""
        return self._next_seq

    def read(self, whole=True):
        """Read the snapshot and the entries after it, to the end of the log.

        :param whole: include the part that only an owner reads
        :returns: Ok(Contents), or Err(StoreError)
        """
        self._pending = None
        for _ in range(_MAX_READ_ATTEMPTS):
            contents = self._read_once(whole)
            if contents.is_err() or contents.ok_value is not None:
                return contents
        return result.Err(
            store.StoreError('the log was trimmed during each read')
        )

    def append(self, batch):
        """Append events, or retry the append that stalled before.

        :param batch: list of events; on a retry the same as before
        :returns: Ok(seq), Err(Deposed) or Err(Stalled)
        """
        if self._pending is None:
            self._pending = _PendingAppend.make(batch)
        key = self._make_entry_key(self._next_seq)
        answer = self._kv.swap(key, self._pending.raw, 0, self._last_entry)
        if answer.is_ok() and answer.ok_value.done:
            return self._advance(key, answer.ok_value.revision)
        return self._read_back(key)

    def check_head(self):
        """Tell by one read whether our last entry is still the last one.

        :returns: Ok(bool), or Err(StoreError)
        """
        first = self._make_entry_key(self._next_seq - 1)
        last = self._make_entry_key(self._next_seq + 1)
        answer = self._kv.read_range(first, last, keys_only=True)
        return answer.map(self._is_last_entry)

    def write_snapshot(self, raw, aside=b''):
        """Write the state after the last entry.

        A failure leaves the old snapshot in force. What a new one replaces is
        left to :meth:`trim`.

        :param raw: the packed state
        :param aside: the part that only an owner reads, kept apart because
            every side reads the rest at the same time after a power loss
        :returns: Ok(None), or Err(StoreError or Deposed)
        """
        seq = self._next_seq - 1
        chunks = _split(_compress(raw), SNAPSHOT_CHUNK_BYTES)
        aside_chunks = []
        if aside:
            aside_chunks = _split(_compress(aside), SNAPSHOT_CHUNK_BYTES)
        rows = [
            (self._make_chunk_key(seq, n), c) for n, c in enumerate(chunks)
        ]
        rows += [
            (self._make_aside_key(seq, n), c)
            for n, c in enumerate(aside_chunks)
        ]
        for key, chunk in rows:
            written = self._kv.swap(key, chunk, 0)
            if written.is_err():
                return written
        replaced = self._list_replaced(seq)
        head = codec.pack(SnapshotHead(seq, len(chunks), len(aside_chunks)))
        revision = self._snapshot_head.revision if self._snapshot_head else 0
        swapped = self._kv.swap(self._snapshot_head_key, head, revision)
        if swapped.is_err():
            return swapped
        if not swapped.ok_value.done:
            return result.Err(Deposed(seq))
        self._snapshot_head = store.Entry(
            self._snapshot_head_key, head, swapped.ok_value.revision
        )
        self._replaced = replaced
        return result.Ok(None)

    def trim(self):
        """Delete some of what the last snapshot replaces.

        After a failure the rest is left to the trimming after the next
        snapshot.

        :returns: Ok(True) if there is more to delete, Ok(False) if not, or
            Err(StoreError)
        """
        if not self._replaced:
            return result.Ok(False)
        trimmed = self._kv.delete_range(*self._replaced.popleft())
        if trimmed.is_err():
            self._replaced.clear()
            return trimmed
        if not self._replaced:
            LOG.info('trimmed log', extra=logs.fields(shard=self._shard))
        return result.Ok(bool(self._replaced))

    @property
    def _snapshot_head_key(self):
        return f'{self._prefix}head'

    def _make_entry_key(self, seq):
        return f'{self._prefix}log/{seq:012d}'

    def _make_chunk_key(self, seq, number):
        return f'{self._prefix}snapshot/{seq:012d}/{number:04d}'

    def _make_aside_key(self, seq, number):
        # Sorts after the chunks of its snapshot and is trimmed with them.
        return f'{self._prefix}snapshot/{seq:012d}/aside/{number:04d}'

    def _advance(self, key, revision):
        self._last_entry = store.Entry(key, b'', revision)
        self._next_seq += 1
        self._pending = None
        return result.Ok(self._next_seq - 1)

    def _read_back(self, key):
        """Find out what became of an append that was not confirmed."""
        found = self._kv.read(key)
        if found.is_err():
            return result.Err(Stalled(found.err_value.text))
        entry = found.ok_value
        if entry is not None and entry.value == self._pending.raw:
            return self._advance(key, entry.revision)
        if entry is not None:
            return result.Err(Deposed(self._next_seq))
        return self._check_last_entry()

    def _check_last_entry(self):
        """Tell an append that can be retried from a log that was trimmed."""
        if self._last_entry is None:
            return result.Err(Stalled('the append did not arrive'))
        found = self._kv.read(self._last_entry.key)
        if found.is_err():
            return result.Err(Stalled(found.err_value.text))
        if found.ok_value is None:
            return result.Err(Deposed(self._next_seq))
        return result.Err(Stalled('the append did not arrive'))

    def _is_last_entry(self, entries):
        keys = [entry.key for entry in entries]
        return keys == [self._make_entry_key(self._next_seq - 1)]

    def _read_once(self, whole):
        """Read the log; Ok(None) if it was trimmed in the meantime."""
        head = self._kv.read(self._snapshot_head_key)
        if head.is_err():
            return head
        self._snapshot_head = head.ok_value
        contents = Contents()
        if self._snapshot_head is not None:
            snapshot = self._read_snapshot(whole)
            if snapshot.is_err() or snapshot.ok_value is None:
                return snapshot
            contents = snapshot.ok_value
        return self._read_tail(contents)

    def _read_snapshot(self, whole):
        """Read the chunks of the snapshot; Ok(None) if one is missing."""
        head = codec.unpack(SnapshotHead, self._snapshot_head.value)
        keys = [self._make_chunk_key(head.seq, n) for n in range(head.chunks)]
        raw = self._read_chunks(keys)
        if raw.is_err() or raw.ok_value is None:
            return raw
        contents = Contents(raw.ok_value, b'', head.seq)
        if whole and head.aside:
            keys = [
                self._make_aside_key(head.seq, n) for n in range(head.aside)
            ]
            aside = self._read_chunks(keys)
            if aside.is_err() or aside.ok_value is None:
                return aside
            contents.aside = aside.ok_value
        return result.Ok(contents)

    def _read_chunks(self, keys):
        """Return the decompressed concatenation of the values of some keys."""
        raw = b''
        for key in keys:
            chunk = self._kv.read(key)
            if chunk.is_err() or chunk.ok_value is None:
                return chunk
            raw += chunk.ok_value.value
        return result.Ok(_decompress(raw))

    def _read_tail(self, contents):
        has_snapshot = self._snapshot_head is not None
        seq = contents.seq if has_snapshot else 0
        last = store.find_prefix_end(f'{self._prefix}log/')
        self._last_entry = None
        while True:
            answer = self._kv.read_range(
                self._make_entry_key(seq), last, READ_MAX_ENTRIES
            )
            if answer.is_err():
                return answer
            for entry in answer.ok_value:
                if entry.key != self._make_entry_key(seq):
                    return result.Ok(None)
                if not has_snapshot or seq > contents.seq:
                    contents.batches.append(_read_entry(entry))
                self._last_entry = store.Entry(entry.key, b'', entry.revision)
                seq += 1
            if len(answer.ok_value) < READ_MAX_ENTRIES:
                break
        if has_snapshot and self._last_entry is None:
            return result.Ok(None)
        self._next_seq = seq
        contents.empty = self._last_entry is None
        contents.seq = seq - 1
        return result.Ok(contents)

    def _list_replaced(self, seq):
        """Return the ranges of keys that a new snapshot replaces.

        The range below the present snapshot is usually empty.

        :param seq: the last entry that the snapshot covers, which stays
        :returns: deque of (first key, end key)
        """
        begin = 1
        if self._snapshot_head is not None:
            head = codec.unpack(SnapshotHead, self._snapshot_head.value)
            begin = max(1, head.seq)
        bounds = [1, *range(begin, seq, TRIM_ENTRIES), seq]
        keys = [self._make_entry_key(number) for number in bounds]
        ranges = collections.deque(
            pair for pair in itertools.pairwise(keys) if pair[0] < pair[1]
        )
        ranges.append(
            (f'{self._prefix}snapshot/', self._make_chunk_key(seq, 0))
        )
        return ranges


@dataclasses.dataclass(slots=True)
class _PendingAppend:
    """The bytes of an append that is not confirmed yet."""

    raw: bytes = b''

    @classmethod
    def make(cls, batch):
        rows = events.write_events(batch)
        value = {'nonce': ids.make_nonce(), 'events': rows}
        return cls(_compress(msgpack.packb(value)))


def _read_entry(entry):
    raw = _decompress(entry.value)
    value = msgpack.unpackb(raw, strict_map_key=False)
    return events.read_events(value['events'])


def _compress(raw):
    return zlib.compress(raw, _COMPRESSION_LEVEL)


def _decompress(raw):
    """Return the original bytes; older values are not compressed.

    :raises ValueError: the bytes are not a zlib stream
    """
    if not raw or raw[0] != _ZLIB_FIRST_BYTE:
        return raw
    try:
        return zlib.decompress(raw)
    except zlib.error as exc:
        raise ValueError(
            f'cannot decompress a value of the log: {exc}'
        ) from exc


def _split(raw, size):
    """Return bytes in pieces of at most ``size``, at least one piece."""
    pieces = [raw[at : at + size] for at in range(0, len(raw), size)]
    return pieces or [b'']
