# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A client of the platform's store, as a ``store.LeaseStore``.

Some names on the wire are misleading. ``privateKey`` is the name of any key,
``pathPrefix`` the prefix of key names. ``watchRev`` is the revision after
which a watch begins, but in a range request the key that the page begins
with.
"""

import base64
import os
import urllib.parse

import result

from portwharf.platform import http_client
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
        self._last_revisions[key] = value.get('at', 0)
        if reply.ok_value.status == _NOT_FOUND:
            return result.Ok(None)
        return result.Ok(_read_entry(value))

    def read_range(self, first, last, limit=0, keys_only=False):
        found = []
        for page in self._read_pages(os.path.commonprefix([first, last])):
            if page.is_err():
                return page
            items = page.ok_value['items']
            # A page may begin with the last item of the page before.
            last_key = found[-1].key if found else ''
            for item in items:
                key = item['privateKey']
                if first <= key < last and key != last_key:
                    found.append(_read_entry(item, keys_only))
            if limit and len(found) >= limit:
                break
            if items and items[-1]['privateKey'] >= last:
                break
        return result.Ok(found[: limit or None])

    def _read_pages(self, prefix):
        """Read the items with a prefix of their keys, page by page.

        :returns: generator of Ok(answer of a page), until the last one or an
            Err(StoreError)
        """
        query = _encode_query(pathPrefix=prefix)
        while True:
            reply = self._call('GET', f'/portwharf/kv-range?{query}', _OK)
            if reply.is_err():
                yield reply
                return
            page = reply.ok_value.value
            yield result.Ok(page)
            if not (page.get('more') and page['items']):
                return
            start = page['items'][-1]['privateKey']
            if len(page['items']) == 1:
                # Together with the next item it does not fit on a page.
                start += _FIRST_CHARACTER
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
        self._last_revisions[key] = max(after, value.get('at', 0))
        entries = [
            _read_entry(event)
            for event in value['events']
            if event['privateKey'] == key and not event.get('gone')
        ]
        return result.Ok(entries[-1] if entries else None)

    def list_keys(self, prefix):
        names = store.KeyList()
        for page in self._read_pages(prefix):
            if page.is_err():
                return page
            # The pages are not one snapshot. A watch from the first page's
            # revision covers all later changes.
            names.revision = names.revision or page.ok_value['at']
            found = [item['privateKey'] for item in page.ok_value['items']]
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
        unchanged = 0 if value['events'] else value.get('at', 0)
        return result.Ok(store.KeyList(revision=unchanged))

    def grant_lease(self, seconds):
        body = {'ttl_ms': int(seconds * _MS_PER_SECOND)}
        reply = self._call('POST', '/portwharf/kv-lease', _OK, body=body)
        return reply.map(lambda found: found.value['lease'])

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
        return result.Ok(store.WriteResult(True, reply.ok_value.value['rev']))

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


def _read_entry(item, key_only=False):
    value = '' if key_only else item.get('value', '')
    return store.Entry(
        item['privateKey'], base64.b64decode(value), item['rev']
    )


def open_rate_limited_store(settings, clock):
    """Return the platform's store, limited to this process's call rate.

    :param settings: a ``boot.BootSettings``
    :param clock: a clock
    """
    inner = PlatformStore(settings.store)
    rate = settings.store_calls
    return store.RateLimitedStore(inner, clock, rate, 2 * rate)
