# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The platform's store as portwharf's own ``store.LeaseStore``.

Some names on the wire mislead: ``privateKey`` is any key, ``pathPrefix`` a
prefix of keys, and ``watchRev`` is the revision that a watch begins after,
but of a range the key that a page begins with.
"""

import base64
import os
import urllib.parse

import result

from portwharf.platform import http
from portwharf import store

# The slowest answers that were seen took 0.4 s; one that is lost costs all.
CALL_SECONDS = 0.8
# A watch that was cut silently is noticed within this and CALL_SECONDS; the
# configuration has to be read again before the users' 3 s are over.
WATCH_SECONDS = 1.5
# The longest that a watch may wait, by the platform's protocol.
MAX_WATCH_SECONDS = 30.0
# Entries that one transaction takes.
MAX_ENTRIES = 32
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_HISTORY_GONE = 410
# Answers that say that nothing was done.
_NOT_DONE = (400, 403, 404, 429, 503)
_MS = 1000


class PlatformStore(store.LeaseStore):
    """A client of the store; a context manager that closes it."""

    def __init__(self, endpoint):
        """Take the store's ``settings.Endpoint``."""
        self._client = http.Client(endpoint)
        # The store's revision at the last look at a key, by key: where a
        # watch goes on, as history before it may be gone.
        self._looked = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._client.__exit__(*exc_info)

    def read(self, key):
        path = '/portwharf/kv-key?' + _quote(privateKey=key)
        reply = self._call('GET', path, _OK, _NOT_FOUND)
        if reply.is_err():
            return reply
        value = reply.ok_value.value
        self._looked[key] = value.get('at', 0)
        if reply.ok_value.status == _NOT_FOUND:
            return result.Ok(None)
        return result.Ok(_read_entry(value))

    def read_range(self, first, last, limit=0, keys_only=False):
        prefix = os.path.commonprefix([first, last])
        found = []
        query = _quote(pathPrefix=prefix)
        while True:
            reply = self._call('GET', f'/portwharf/kv-range?{query}', _OK)
            if reply.is_err():
                return reply
            items = reply.ok_value.value['items']
            # A page may begin with the item that the last one ended with.
            known = found[-1].key if found else ''
            for item in items:
                key = item['privateKey']
                if first <= key < last and key != known:
                    found.append(_read_entry(item))
            more = reply.ok_value.value.get('more') and items
            if not more or (limit and len(found) >= limit):
                return result.Ok(found[: limit or None])
            if items[-1]['privateKey'] >= last:
                return result.Ok(found)
            start = items[-1]['privateKey']
            query = _quote(pathPrefix=prefix, watchRev=start)

    def swap(self, key, value, revision, guard=None):
        expected = [{'privateKey': key, 'rev': revision}]
        if guard is not None:
            expected.append({'privateKey': guard.key, 'rev': guard.revision})
        return self._change(expected, [_write_item(key, value, 0)], [])

    def put(self, key, value, lease):
        return self._change([], [_write_item(key, value, lease)], [])

    def delete_range(self, first, last):
        listed = self.read_range(first, last, keys_only=True)
        if listed.is_err():
            return listed
        keys = [entry.key for entry in listed.ok_value]
        for at in range(0, len(keys), MAX_ENTRIES):
            done = self._change([], [], keys[at : at + MAX_ENTRIES])
            if done.is_err():
                return done
        return result.Ok(len(keys))

    def wait_for_change(self, key, revision, timeout):
        wait = min(timeout, WATCH_SECONDS)
        after = max(revision, self._looked.get(key, 0))
        query = _quote(pathPrefix=key, watchRev=after, waitMs=int(wait * _MS))
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
        self._looked[key] = max(after, value.get('at', 0))
        entries = [
            _read_entry(event)
            for event in value['events']
            if event['privateKey'] == key and not event.get('gone')
        ]
        return result.Ok(entries[-1] if entries else None)

    def list_names(self, prefix):
        query = _quote(pathPrefix=prefix)
        names = store.Names()
        while True:
            reply = self._call('GET', f'/portwharf/kv-range?{query}', _OK)
            if reply.is_err():
                return reply
            value = reply.ok_value.value
            # Pages are no snapshot: what changed since the first is seen
            # by a watch after that.
            names.revision = names.revision or value['at']
            found = [item['privateKey'] for item in value['items']]
            names.keys += [key for key in found if key not in names.keys]
            if not (value.get('more') and found):
                return result.Ok(names)
            query = _quote(pathPrefix=prefix, watchRev=found[-1])

    def wait_for_names(self, prefix, revision, timeout):
        wait = min(timeout, MAX_WATCH_SECONDS)
        query = _quote(
            pathPrefix=prefix, watchRev=revision, waitMs=int(wait * _MS)
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
            return result.Ok(store.Names())
        value = reply.ok_value.value
        unchanged = 0 if value['events'] else value.get('at', 0)
        return result.Ok(store.Names(revision=unchanged))

    def open_lease(self, seconds):
        body = {'ttl_ms': int(seconds * _MS)}
        reply = self._call('POST', '/portwharf/kv-lease', _OK, body=body)
        return reply.map(lambda found: found.value['lease'])

    def keep_lease(self, lease):
        path = f'/portwharf/kv-keep/{lease}'
        reply = self._call('POST', path, _OK, _NOT_FOUND)
        return reply.map(lambda found: found.status == _OK)

    def _change(self, expected, puts, removals):
        """Make a transaction.

        :returns: Ok(Swap), or Err(StoreError)
        """
        body = {'expectedRev': expected, 'put': puts, 'remove': removals}
        reply = self._call(
            'POST',
            '/portwharf/kv-txn',
            _OK,
            _CONFLICT,
            body=body,
            changes=True,
        )
        if reply.is_err():
            return reply
        if reply.ok_value.status == _CONFLICT:
            return result.Ok(store.Swap())
        return result.Ok(store.Swap(True, reply.ok_value.value['rev']))

    def _call(
        self,
        method,
        path,
        *expected,
        body=None,
        changes=False,
        seconds=CALL_SECONDS,
    ):
        """Make a call whose answer has one of some statuses.

        :param changes: the call may take effect without an answer
        :returns: Ok(http.Reply), or Err(StoreError)
        """
        reply = self._client.call(method, path, seconds, body)
        if reply.is_err():
            lost = reply.err_value
            unknown = changes and lost.sent
            return result.Err(store.StoreError(lost.text, unknown))
        status = reply.ok_value.status
        if status in expected:
            return reply
        unknown = changes and status not in _NOT_DONE
        return result.Err(store.StoreError(f'HTTP status {status}', unknown))


def _quote(**values):
    return urllib.parse.urlencode(values)


def _write_item(key, value, lease):
    item = {'privateKey': key, 'value': base64.b64encode(value).decode()}
    if lease:
        item['lease'] = lease
    return item


def _read_entry(item):
    return store.Entry(
        item['privateKey'],
        base64.b64decode(item.get('value', '')),
        item['rev'],
    )


def open_shared(settings, now):
    """Return the platform's store within this process's share of calls.

    :param settings: a ``boot.Boot``
    :param now: a clock
    """
    inner = PlatformStore(settings.store)
    rate = settings.store_calls
    return store.BudgetedStore(inner, now, rate, 2 * rate)
