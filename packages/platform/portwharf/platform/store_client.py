# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A client of the platform's store, as a ``store.LeaseStore``.

Some names on the wire are misleading. ``privateKey`` is the name of any key,
``pathPrefix`` the prefix of key names. ``watchRev`` is the revision after
which a watch begins, but in a range request the key that the page begins
with.

Other programs write to the store too. An item that cannot be read is passed
over, and one whose value cannot be read has none.
"""

import base64
import dataclasses
import os
import urllib.parse

import result

from portwharf.core import json_input
from portwharf.platform import http_client
from portwharf.platform import json_fields
from portwharf.platform import unreadable
from portwharf import store

# The slowest responses that were seen took 0.4 s. A lost response costs its
# caller all of this time.
CALL_SECONDS = 0.8
# A watch's lost connection is noticed within this plus CALL_SECONDS. The
# configuration must be read again within the platform's limit of 3 s.
WATCH_SECONDS = 1.5
# The longest wait that the platform's protocol allows.
MAX_WATCH_SECONDS = 30.0
# Entries per transaction.
MAX_TRANSACTION_ENTRIES = 32
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_HISTORY_GONE = 410
# Statuses that guarantee that nothing was changed.
_UNCHANGED_STATUSES = (400, 403, 404, 429, 503)
_MS_PER_SECOND = 1000
_ANSWERS = unreadable.UnreadableInput('store-answer')
_ITEMS = unreadable.UnreadableInput('store-item')
# Added to a key, it makes the first key that sorts after it.
_FIRST_CHARACTER = '\0'


class PlatformStore(store.LeaseStore):
    """A client of the store; a context manager that closes connections."""

    def __init__(self, endpoint):
        """Take the store's ``settings.Endpoint``."""
        self._client = http_client.Client(endpoint)
        # The store's revision when a key was last read, by key. Watches
        # begin there, as older history may have been dropped.
        self._last_revisions = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._client.__exit__(*exc_info)

    def read(self, key):
        path = '/portwharf/kv-key?' + _encode_query(privateKey=key)
        reply = self._call('GET', path, _OK, _NOT_FOUND)
        if reply.is_err():
            return reply
        value = reply.ok_value.value
        if reply.ok_value.status == _NOT_FOUND:
            entry = result.Ok(None)
        else:
            entry = _decode(value, _read_entry)
        if entry.is_ok():
            self._last_revisions[key] = _read_revision(value)
        return entry

    def read_range(self, first, last, limit=0, keys_only=False):
        found = []
        prefix = os.path.commonprefix([first, last])
        for page in self._read_pages(prefix, keys_only):
            if page.is_err():
                return page
            # A page may begin with the last item of the page before.
            last_key = found[-1].key if found else ''
            entries = page.ok_value.entries
            for entry in entries:
                if first <= entry.key < last and entry.key != last_key:
                    found.append(entry)
            if limit and len(found) >= limit:
                break
            if entries and entries[-1].key >= last:
                break
        return result.Ok(found[: limit or None])

    def _read_pages(self, prefix, keys_only):
        """Read the items with a prefix of their keys, page by page.

        :param keys_only: the values are left out
        :returns: generator of Ok(_Page), until the last one or an
            Err(StoreError)
        """
        query = _encode_query(pathPrefix=prefix)
        start = ''
        while True:
            reply = self._call('GET', f'/portwharf/kv-range?{query}', _OK)
            page = reply.and_then(
                lambda one: _decode(
                    one.value, lambda value: _read_page(value, keys_only)
                )
            )
            yield page
            if page.is_err() or not page.ok_value.next_key:
                return
            if page.ok_value.next_key <= start:
                # Nothing behind the first item of the page can be read.
                text = f'no readable item follows {start!a:.60}'
                yield result.Err(store.StoreError(text))
                return
            start = page.ok_value.next_key
            query = _encode_query(pathPrefix=prefix, watchRev=start)

    def swap(self, key, value, revision, guard=None):
        expected = [{'privateKey': key, 'rev': revision}]
        if guard is not None:
            expected.append({'privateKey': guard.key, 'rev': guard.revision})
        return self._commit(expected, [_make_item(key, value, 0)], [])

    def put(self, key, value, lease):
        return self._commit([], [_make_item(key, value, lease)], [])

    def delete_range(self, first, last):
        listed = self.read_range(first, last, keys_only=True)
        if listed.is_err():
            return listed
        keys = [entry.key for entry in listed.ok_value]
        for index in range(0, len(keys), MAX_TRANSACTION_ENTRIES):
            done = self._commit(
                [], [], keys[index : index + MAX_TRANSACTION_ENTRIES]
            )
            if done.is_err():
                return done
        return result.Ok(len(keys))

    def wait_for_change(self, key, revision, timeout):
        wait = min(timeout, WATCH_SECONDS)
        after = max(revision, self._last_revisions.get(key, 0))
        query = _encode_query(
            pathPrefix=key, watchRev=after, waitMs=int(wait * _MS_PER_SECOND)
        )
        reply = self._call(
            'GET',
            f'/portwharf/kv-watch?{query}',
            _OK,
            _HISTORY_GONE,
            seconds=wait + CALL_SECONDS,
        )
        if reply.is_err():
            return reply
        if reply.ok_value.status == _HISTORY_GONE:
            return result.Ok(None)
        value = reply.ok_value.value
        events = _decode(value, _read_events)
        if events.is_err():
            return events
        self._last_revisions[key] = max(after, _read_revision(value))
        entries = [
            entry
            for entry, is_gone in events.ok_value
            if entry.key == key and not is_gone
        ]
        return result.Ok(entries[-1] if entries else None)

    def list_keys(self, prefix):
        names = store.KeyList()
        for page in self._read_pages(prefix, keys_only=True):
            if page.is_err():
                return page
            # The pages are not one snapshot. A watch from the first page's
            # revision covers all later changes.
            names.revision = names.revision or page.ok_value.revision
            found = [entry.key for entry in page.ok_value.entries]
            names.keys += [key for key in found if key not in names.keys]
        return result.Ok(names)

    def wait_for_key_changes(self, prefix, revision, timeout):
        wait = min(timeout, MAX_WATCH_SECONDS)
        query = _encode_query(
            pathPrefix=prefix,
            watchRev=revision,
            waitMs=int(wait * _MS_PER_SECOND),
        )
        reply = self._call(
            'GET',
            f'/portwharf/kv-watch?{query}',
            _OK,
            _HISTORY_GONE,
            seconds=wait + CALL_SECONDS,
        )
        if reply.is_err():
            return reply
        if reply.ok_value.status == _HISTORY_GONE:
            return result.Ok(store.KeyList())
        value = reply.ok_value.value
        # An event that cannot be read is a change all the same.
        has_changed = value.get('events') != []
        unchanged = 0 if has_changed else _read_revision(value)
        return result.Ok(store.KeyList(revision=unchanged))

    def grant_lease(self, seconds):
        body = {'ttl_ms': int(seconds * _MS_PER_SECOND)}
        reply = self._call('POST', '/portwharf/kv-lease', _OK, body=body)
        return reply.and_then(
            lambda found: _decode(
                found.value,
                lambda value: json_fields.read_int(value, 'lease', 1, None),
            )
        )

    def renew_lease(self, lease):
        path = f'/portwharf/kv-keep/{lease}'
        reply = self._call('POST', path, _OK, _NOT_FOUND)
        return reply.map(lambda found: found.status == _OK)

    def _commit(self, expected, puts, removals):
        """Commit a transaction.

        :param expected: the revision that each of some keys must have
        :param puts: items to write
        :param removals: names of the keys to delete
        :returns: Ok(WriteResult), or Err(StoreError)
        """
        body = {'expectedRev': expected, 'put': puts, 'remove': removals}
        reply = self._call(
            'POST',
            '/portwharf/kv-txn',
            _OK,
            _CONFLICT,
            body=body,
            mutates=True,
        )
        if reply.is_err():
            return reply
        if reply.ok_value.status == _CONFLICT:
            return result.Ok(store.WriteResult())
        return _decode(reply.ok_value.value, _read_write, unknown=True)

    def _call(
        self,
        method,
        path,
        *expected,
        body=None,
        mutates=False,
        seconds=CALL_SECONDS,
    ):
        """Send a request.

        :param expected: the statuses that are returned; any other one is an
            error
        :param mutates: the request may take effect without a response
        :returns: Ok(http_client.Reply), or Err(StoreError)
        """
        reply = self._client.call(method, path, seconds, body)
        if reply.is_err():
            no_reply = reply.err_value
            unknown = mutates and no_reply.sent
            return result.Err(store.StoreError(no_reply.text, unknown))
        status = reply.ok_value.status
        if status in expected:
            return reply
        unknown = mutates and status not in _UNCHANGED_STATUSES
        return result.Err(store.StoreError(f'HTTP status {status}', unknown))


def _encode_query(**values):
    return urllib.parse.urlencode(values)


def _make_item(key, value, lease):
    item = {'privateKey': key, 'value': base64.b64encode(value).decode()}
    if lease:
        item['lease'] = lease
    return item


@dataclasses.dataclass(slots=True)
class _Page:
    """One page of a range.

    :param revision: the store's revision
    :param next_key: the key that the next page begins with, '' after the last
    """

    entries: list = dataclasses.field(default_factory=list)
    revision: int = 0
    next_key: str = ''


def _decode(value, read, unknown=False):
    """Return Ok(what a function reads of a body), or Err(StoreError).

    :param unknown: the call may have taken effect
    """
    try:
        return result.Ok(read(value))
    except json_input.DECODE_ERRORS as exc:
        _ANSWERS.record(exc)
        text = f'unreadable answer: {type(exc).__name__}'
        return result.Err(store.StoreError(text, unknown))


def _read_page(value, keys_only):
    items = json_fields.read_list(value, 'items', object, None)
    entries = _read_items(items, keys_only)
    revision = json_fields.read_int(value, 'at', 0, None)
    if not (value.get('more') and items):
        return _Page(entries, revision)
    if not entries:
        raise ValueError('no item of a page can be read')
    next_key = entries[-1].key
    if len(items) == 1:
        # Together with the next item it does not fit on a page.
        next_key += _FIRST_CHARACTER
    return _Page(entries, revision, next_key)


def _read_events(value):
    """Return (entry, whether its key is gone) of each event of a watch."""
    events = json_fields.read_list(value, 'events', object, None)
    return [
        (entry, bool(event.get('gone')))
        for event in events
        for entry in _read_items([event])
    ]


def _read_items(items, keys_only=False):
    """Return the ``store.Entry`` of each item that can be read."""
    entries = []
    for item in items:
        try:
            entries.append(_read_entry(item, keys_only))
        except json_input.DECODE_ERRORS as exc:
            _ITEMS.record(exc)
    return entries


def _read_entry(item, key_only=False):
    """Return an item as a ``store.Entry``.

    :param key_only: its value is left out
    :raises ValueError: its key or revision cannot be read
    """
    key = json_fields.read_str(item, 'privateKey', None)
    revision = json_fields.read_int(item, 'rev', 0, None)
    if key_only:
        return store.Entry(key, b'', revision)
    try:
        value = base64.b64decode(
            json_fields.read_str(item, 'value'), validate=True
        )
    except ValueError as exc:
        _ITEMS.record(exc)
        value = b''
    return store.Entry(key, value, revision)


def _read_revision(value):
    """Return the store's revision in an answer, 0 if it cannot be read."""
    try:
        return json_fields.read_int(value, 'at')
    except ValueError:
        return 0


def _read_write(value):
    revision = json_fields.read_int(value, 'rev', 1, None)
    return store.WriteResult(True, revision)


def open_rate_limited_store(settings, clock):
    """Return the platform's store, limited to this process's call rate.

    :param settings: a ``boot.BootSettings``
    :param clock: a clock
    """
    inner = PlatformStore(settings.store)
    rate = settings.store_calls
    return store.RateLimitedStore(inner, clock, rate, 2 * rate)
