# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A small stand-in of the users' platform's store, by its protocol.

Keys with revisions and leases, transactions, ranges in pages, watches that
wait, and the faults that tests need: down, answers lost after the effect,
and history forgotten.
"""

import dataclasses
import json
import threading
import time
import urllib.parse

PAGE = 3
_MS = 1000


@dataclasses.dataclass(slots=True)
class Faults:
    """What is wrong with the store just now.

    :param down: every call is refused with 503
    :param lost: changes are made and then answered with 500
    :param history: watches from before this revision are refused
    :param slow_seconds: each call takes so much longer
    """

    down: bool = False
    lost: bool = False
    history: int = 0
    slow_seconds: float = 0.0


class PlatformStoreStandIn:
    """The WSGI application."""

    def __init__(self):
        self.faults = Faults()
        self.calls = []
        # What is stored in place of a value, as the soak puts relays in.
        self.rewrite = lambda key, value: value
        self._changed = threading.Condition()
        self._items = {}
        self._events = []
        self._leases = {}
        self._revision = 10
        self._lease = 100

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO'].removeprefix('/portwharf/')
        query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
        size = int(environ.get('CONTENT_LENGTH') or 0)
        raw = environ['wsgi.input'].read(size) if size else b''
        body = json.loads(raw) if raw else {}
        self.calls.append(path)
        time.sleep(self.faults.slow_seconds)
        if self.faults.down:
            return answer(start_response, 503, {})
        verb, _, rest = path.partition('/')
        call = getattr(self, '_' + verb.replace('-', '_'))
        with self._changed:
            self._expire()
            status, value = call(query, body, rest)
        if self.faults.lost and verb == 'kv-txn':
            return answer(start_response, 500, {})
        return answer(start_response, status, value)

    def set_item(self, key, text):
        """Write a key as the operator does; returns its revision."""
        with self._changed:
            return self._put(key, text, 0)

    def forget_history(self):
        """Have watches from before now refused."""
        with self._changed:
            self.faults.history = self._revision
            self._events = []

    def revoke(self, key):
        """Take a key away without a word."""
        with self._changed:
            self._remove(key)

    def end_leases(self):
        """Have all leases lapse."""
        with self._changed:
            self._leases = dict.fromkeys(self._leases, 0.0)
            self._expire()

    def _kv_key(self, query, body, rest):
        item = self._items.get(query['privateKey'])
        if item is None:
            return 404, {'at': self._revision}
        return 200, {**item, 'at': self._revision}

    def _kv_range(self, query, body, rest):
        start = query.get('watchRev', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['pathPrefix']) and key >= start
        )
        items = [self._items[key] for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return 200, {'items': items, 'more': more, 'at': self._revision}

    def _kv_txn(self, query, body, rest):
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

    def _kv_watch(self, query, body, rest):
        after = int(query['watchRev'])
        if after < self.faults.history:
            return 410, {}
        end = time.monotonic() + int(query['waitMs']) / _MS
        while True:
            events = [
                event
                for event in self._events
                if event['rev'] > after
                and event['privateKey'].startswith(query['pathPrefix'])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'at': self._revision}
            self._changed.wait(left)

    def _kv_lease(self, query, body, rest):
        self._lease += 1
        until = time.monotonic() + body['ttl_ms'] / _MS
        self._leases[self._lease] = until
        return 200, {'lease': self._lease, 'ttl_ms': body['ttl_ms']}

    def _kv_keep(self, query, body, rest):
        if int(rest) not in self._leases:
            return 404, {}
        self._leases[int(rest)] = time.monotonic() + 5
        return 200, {'ttl_ms': 5 * _MS}

    def _put(self, key, value, lease):
        value = self.rewrite(key, value)
        self._revision += 1
        made = self._items.get(key, {}).get('made', self._revision)
        item = {'privateKey': key, 'value': value, 'rev': self._revision}
        self._items[key] = {**item, 'made': made, 'lease': lease}
        self._events.append(self._items[key])
        self._changed.notify_all()
        return self._revision

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            gone = {'privateKey': key, 'rev': self._revision, 'gone': True}
            self._events.append(gone)
            self._changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        over = {n for n, until in self._leases.items() if until <= now}
        for number in over:
            del self._leases[number]
        for key, item in list(self._items.items()):
            if item['lease'] in over:
                self._remove(key)


def answer(start_response, status, value):
    """Answer a WSGI request with JSON, whatever the status."""
    raw = json.dumps(value).encode()
    headers = [('Content-Type', 'application/json')]
    headers.append(('Content-Length', str(len(raw))))
    start_response(f'{status} Status', headers)
    return [raw]
