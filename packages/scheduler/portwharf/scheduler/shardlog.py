# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A shard's log in the platform's store; who appends to it owns the shard.

An entry is one key, made only if it does not exist and only while the
entry before it is unchanged. The second condition matters: old entries are
trimmed away, and without it an owner that was paused for long would find
its stale number free again and believe that it still owns the shard.
Entry 0 is never trimmed for the same reason.

An append whose answer is lost is read back: ours (by its nonce), absent
(sent again, the same bytes under the same key), or another's (deposed).
There is no other way to lose the log, and no lease to renew.
"""

import dataclasses
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

# Entries read in one call.
READ_LIMIT = 200
# A batch is cut so that an entry stays well under the store's limit.
MAX_ENTRY_BYTES = 700_000
SNAPSHOT_CHUNK_BYTES = 700_000
_READ_TRIES = 5
# Events repeat names and reasons: at the fastest level an entry of 2 KB takes
# a sixth of its bytes, for 0.04 ms. What all sides read at once after a loss
# of power, 2.4 MB each on 76, took a store's link of 1 Gbit/s two seconds.
_LEVEL = 1
# What compressed bytes begin with; a map of msgpack never does.
_COMPRESSED = 0x78


@dataclasses.dataclass(slots=True)
class Deposed:
    """Another process appended where we would have."""

    seq: int = 0


@dataclasses.dataclass(slots=True)
class Stalled:
    """The store gave no answer; the same append can be tried again."""

    text: str = ''


@dataclasses.dataclass(slots=True)
class SnapshotHead:
    """Which snapshot counts: the state after entry ``seq``.

    :param aside: chunks of what only an owner needs
    """

    seq: int = 0
    chunks: int = 0
    aside: int = 0


@dataclasses.dataclass(slots=True)
class Contents:
    """What a log holds.

    :param snapshot: packed state after entry ``seq``, or b''
    :param aside: what only an owner needs of it, or b''
    :param batches: the events of each entry after it
    :param empty: nothing has ever been written
    """

    snapshot: bytes = b''
    aside: bytes = b''
    seq: int = 0
    batches: list = dataclasses.field(default_factory=list)
    empty: bool = False


def cut_batch(batch):
    """Return how many of a batch's events fit into one entry, at least 1."""
    size = 0
    for count, row in enumerate(events.write_events(batch)):
        size += len(msgpack.packb(row))
        if count and size > MAX_ENTRY_BYTES:
            return count
    return len(batch)


class ShardLog:
    """One shard's log, read and appended to by one process."""

    def __init__(self, kv, shard):
        """Take the store and the shard's number."""
        self._kv = kv
        self._shard = shard
        self._prefix = f'shards/{shard:04d}/'
        # The last entry that we know, guard of the next append.
        self._last = None
        self._next = 0
        self._head = None
        self._pending = None

    @property
    def next_seq(self):
        """The number of the entry that comes next."""
        return self._next

    def read(self, whole=True):
        """Read snapshot and tail, and stand at the log's end.

        :param whole: with what only an owner needs
        :returns: Ok(Contents), or Err(StoreError)
        """
        self._pending = None
        for _ in range(_READ_TRIES):
            contents = self._read_once(whole)
            if contents.is_err() or contents.ok_value is not None:
                return contents
        return result.Err(store.StoreError('the log changes too fast'))

    def append(self, batch):
        """Append events, or try again the append that stalled before.

        :param batch: events; on a second try the same as before
        :returns: Ok(seq), Err(Deposed) or Err(Stalled)
        """
        if self._pending is None:
            self._pending = _Pending.make(batch)
        key = self._name_entry(self._next)
        answer = self._kv.swap(key, self._pending.raw, 0, self._last)
        if answer.is_ok() and answer.ok_value.done:
            return self._advance(key, answer.ok_value.revision)
        return self._read_back(key)

    def check_head(self):
        """Tell by one read whether our last entry is still the last.

        :returns: Ok(bool), or Err(StoreError)
        """
        first = self._name_entry(self._next - 1)
        last = self._name_entry(self._next + 1)
        answer = self._kv.read_range(first, last, keys_only=True)
        return answer.map(self._is_alone)

    def write_snapshot(self, raw, aside=b''):
        """Write the state after the last entry, then trim.

        A failure leaves the old snapshot in place and no harm done.

        :param aside: what only an owner needs: after a loss of all power
            every side reads the rest at the same moment
        :returns: Ok(None), or Err(StoreError or Deposed)
        """
        seq = self._next - 1
        chunks = _cut(_compress(raw), SNAPSHOT_CHUNK_BYTES)
        extra = []
        if aside:
            extra = _cut(_compress(aside), SNAPSHOT_CHUNK_BYTES)
        rows = [(self._name_chunk(seq, n), c) for n, c in enumerate(chunks)]
        rows += [(self._name_aside(seq, n), c) for n, c in enumerate(extra)]
        for key, chunk in rows:
            written = self._kv.swap(key, chunk, 0)
            if written.is_err():
                return written
        head = codec.pack(SnapshotHead(seq, len(chunks), len(extra)))
        revision = self._head.revision if self._head else 0
        swapped = self._kv.swap(self._head_key, head, revision)
        if swapped.is_err():
            return swapped
        if not swapped.ok_value.done:
            return result.Err(Deposed(seq))
        self._head = store.Entry(
            self._head_key, head, swapped.ok_value.revision
        )
        return self._trim(seq)

    @property
    def _head_key(self):
        return f'{self._prefix}head'

    def _name_entry(self, seq):
        return f'{self._prefix}log/{seq:012d}'

    def _name_chunk(self, seq, number):
        return f'{self._prefix}snapshot/{seq:012d}/{number:04d}'

    def _name_aside(self, seq, number):
        # Behind the chunks of its own snapshot, so that it goes with them.
        return f'{self._prefix}snapshot/{seq:012d}/aside/{number:04d}'

    def _advance(self, key, revision):
        self._last = store.Entry(key, b'', revision)
        self._next += 1
        self._pending = None
        return result.Ok(self._next - 1)

    def _read_back(self, key):
        """Find out what became of an append that was not confirmed."""
        found = self._kv.read(key)
        if found.is_err():
            return result.Err(Stalled(found.err_value.text))
        entry = found.ok_value
        if entry is not None and entry.value == self._pending.raw:
            return self._advance(key, entry.revision)
        if entry is not None:
            return result.Err(Deposed(self._next))
        return self._check_last()

    def _check_last(self):
        """Tell apart an append that can go again from a trimmed log."""
        if self._last is None:
            return result.Err(Stalled('the append did not arrive'))
        found = self._kv.read(self._last.key)
        if found.is_err():
            return result.Err(Stalled(found.err_value.text))
        if found.ok_value is None:
            return result.Err(Deposed(self._next))
        return result.Err(Stalled('the append did not arrive'))

    def _is_alone(self, entries):
        keys = [entry.key for entry in entries]
        return keys == [self._name_entry(self._next - 1)]

    def _read_once(self, whole):
        """Read all; Ok(None) if it was trimmed under our hands."""
        head = self._kv.read(self._head_key)
        if head.is_err():
            return head
        self._head = head.ok_value
        contents = Contents()
        if self._head is not None:
            snapshot = self._read_snapshot(whole)
            if snapshot.is_err() or snapshot.ok_value is None:
                return snapshot
            contents = snapshot.ok_value
        return self._read_tail(contents)

    def _read_snapshot(self, whole):
        """Read the chunks of a snapshot; Ok(None) if one is gone."""
        head = codec.unpack(SnapshotHead, self._head.value)
        names = [self._name_chunk(head.seq, n) for n in range(head.chunks)]
        raw = self._read_chunks(names)
        if raw.is_err() or raw.ok_value is None:
            return raw
        contents = Contents(raw.ok_value, b'', head.seq)
        if whole and head.aside:
            names = [self._name_aside(head.seq, n) for n in range(head.aside)]
            aside = self._read_chunks(names)
            if aside.is_err() or aside.ok_value is None:
                return aside
            contents.aside = aside.ok_value
        return result.Ok(contents)

    def _read_chunks(self, names):
        """Return the values of some keys, put together."""
        raw = b''
        for name in names:
            chunk = self._kv.read(name)
            if chunk.is_err() or chunk.ok_value is None:
                return chunk
            raw += chunk.ok_value.value
        return result.Ok(_decompress(raw))

    def _read_tail(self, contents):
        has_snapshot = self._head is not None
        seq = contents.seq if has_snapshot else 0
        last = store.find_prefix_end(f'{self._prefix}log/')
        self._last = None
        while True:
            answer = self._kv.read_range(
                self._name_entry(seq), last, READ_LIMIT
            )
            if answer.is_err():
                return answer
            for entry in answer.ok_value:
                if entry.key != self._name_entry(seq):
                    return result.Ok(None)
                if not has_snapshot or seq > contents.seq:
                    contents.batches.append(_read_entry(entry))
                self._last = store.Entry(entry.key, b'', entry.revision)
                seq += 1
            if len(answer.ok_value) < READ_LIMIT:
                break
        if has_snapshot and self._last is None:
            return result.Ok(None)
        self._next = seq
        contents.empty = self._last is None
        contents.seq = seq - 1
        return result.Ok(contents)

    def _trim(self, seq):
        """Delete what the snapshot after entry ``seq`` stands for."""
        first, last = self._name_entry(1), self._name_entry(seq)
        trimmed = self._kv.delete_range(first, last)
        if trimmed.is_err():
            return trimmed
        first = f'{self._prefix}snapshot/'
        last = self._name_chunk(seq, 0)
        trimmed = self._kv.delete_range(first, last)
        LOG.info('trimmed', extra=logs.fields(shard=self._shard))
        return trimmed.map(lambda _: None)


@dataclasses.dataclass(slots=True)
class _Pending:
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
    return zlib.compress(raw, _LEVEL)


def _decompress(raw):
    """Return bytes as they were written, now or before any were compressed.

    :raises ValueError: they are garbled
    """
    if not raw or raw[0] != _COMPRESSED:
        return raw
    try:
        return zlib.decompress(raw)
    except zlib.error as exc:
        raise ValueError(f'the log is garbled: {exc}') from exc


def _cut(raw, size):
    """Return bytes in pieces, at least one."""
    pieces = [raw[at : at + size] for at in range(0, len(raw), size)]
    return pieces or [b'']
