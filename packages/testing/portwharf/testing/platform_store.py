# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""In-memory fake of the users' platform's store, speaking its protocol.

It has keys with revisions and leases, transactions, paged ranges and watches
by long polling. Faults can be injected: the store is down or slow, loses
answers after the effect, or has compacted its history.
"""

import dataclasses
import json
import threading
import time
import urllib.parse

PAGE_ITEMS = 3
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults that the store injects.

    :param down: calls are answered with 503
    :param lost: transactions take effect, then are answered with 500
    :param history: watches from before this revision are answered with 410
    :param slow_seconds: each call is delayed by this
    """

    down: bool = False
    lost: bool = False
    history: int = 0
    slow_seconds: float = 0.0


class FakePlatformStore:
    """The store, as a WSGI application.

    :ivar calls: path of each call, in order
    :ivar rewrite: function of key and value that returns the value to store
    """

    def __init__(self, page_items=PAGE_ITEMS):
        """Create an empty store.

        :param page_items: how many items a range request returns at most
        """
        self.faults = Faults()
        self._page_items = page_items
        self.calls = []
        self.rewrite = lambda key, value: value
        self._condition = threading.Condition()
        self._items = {}
        self._events = []
        self._leases = {}
        self._revision = 10
        self._last_lease_id = 100

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO'].removeprefix('/portwharf/')
        query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
        size = int(environ.get('CONTENT_LENGTH') or 0)
        payload = environ['wsgi.input'].read(size) if size else b''
        body = json.loads(payload) if payload else {}
        self.calls.append(path)
        time.sleep(self.faults.slow_seconds)
        if self.faults.down:
            return answer(start_response, 503, {})
        call_name, _, path_argument = path.partition('/')
        handler = getattr(self, '_' + call_name.replace('-', '_'))
        with self._condition:
            self._expire_leases()
            status, value = handler(query, body, path_argument)
        if self.faults.lost and call_name == 'kv-txn':
            return answer(start_response, 500, {})
        return answer(start_response, status, value)

    def set_item(self, key, text):
        """Write a key directly, bypassing the faults; returns its revision."""
        with self._condition:
            return self._put(key, text, 0)

    def forget_history(self):
        """Drop all past events; watches from before now are refused."""
        with self._condition:
            self.faults.history = self._revision
            self._events = []

    def revoke(self, key):
        """Delete a key directly, bypassing the faults."""
        with self._condition:
            self._remove(key)

    def end_leases(self):
        """Expire all leases and delete their keys."""
        with self._condition:
            self._leases = dict.fromkeys(self._leases, 0.0)
            self._expire_leases()

    def _kv_key(self, query, body, path_argument):
        item = self._items.get(query['privateKey'])
        if item is None:
            return 404, {'at': self._revision}
        return 200, {**item, 'at': self._revision}

    def _kv_range(self, query, body, path_argument):
        start = query.get('watchRev', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['pathPrefix']) and key >= start
        )
        items = [self._items[key] for key in keys[: self._page_items]]
        more = len(keys) > self._page_items
        return 200, {'items': items, 'more': more, 'at': self._revision}

    def _kv_txn(self, query, body, path_argument):
        expected = body.get('expectedRev', [])
        for row in expected:
            item = self._items.get(row['privateKey'])
            if (item['rev'] if item else 0) != row['rev']:
                keys = [row['privateKey'] for row in expected]
                found = [self._items[k] for k in keys if k in self._items]
                return 412, {'items': found}
        for put in body.get('put', []):
            if put.get('lease') and put['lease'] not in self._leases:
                return 404, {}
            self._put(put['privateKey'], put['value'], put.get('lease', 0))
        for key in body.get('remove', []):
            self._remove(key)
        return 200, {'rev': self._revision}

    def _kv_watch(self, query, body, path_argument):
        after = int(query['watchRev'])
        if after < self.faults.history:
            return 410, {}
        end = time.monotonic() + int(query['waitMs']) / _MS_PER_SECOND
        while True:
            events = [
                event
                for event in self._events
                if event['rev'] > after
                and event['privateKey'].startswith(query['pathPrefix'])
            ]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                return 200, {'events': events, 'at': self._revision}
            self._condition.wait(remaining)

    def _kv_lease(self, query, body, path_argument):
        self._last_lease_id += 1
        until = time.monotonic() + body['ttl_ms'] / _MS_PER_SECOND
        self._leases[self._last_lease_id] = until
        return 200, {'lease': self._last_lease_id, 'ttl_ms': body['ttl_ms']}

    def _kv_keep(self, query, body, path_argument):
        if int(path_argument) not in self._leases:
            return 404, {}
        self._leases[int(path_argument)] = time.monotonic() + 5
        return 200, {'ttl_ms': 5 * _MS_PER_SECOND}

    def _put(self, key, value, lease):
        value = self.rewrite(key, value)
        self._revision += 1
        created_rev = self._items.get(key, {}).get('made', self._revision)
        item = {'privateKey': key, 'value': value, 'rev': self._revision}
        self._items[key] = {**item, 'made': created_rev, 'lease': lease}
        self._events.append(self._items[key])
        self._condition.notify_all()
        return self._revision

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            deletion = {'privateKey': key, 'rev': self._revision, 'gone': True}
            self._events.append(deletion)
            self._condition.notify_all()

    def _expire_leases(self):
        now = time.monotonic()
        expired = {n for n, until in self._leases.items() if until <= now}
        for lease_id in expired:
            del self._leases[lease_id]
        for key, item in list(self._items.items()):
            if item['lease'] in expired:
                self._remove(key)


def answer(start_response, status, value):
    """Answer a WSGI request with JSON and any status."""
    payload = json.dumps(value).encode()
    headers = [('Content-Type', 'application/json')]
    headers.append(('Content-Length', str(len(payload))))
    start_response(f'{status} Status', headers)
    return [payload]
