"""A stand-in for the platform's store, by PROTOCOL.md.

Keys with revisions and leases, conditional transactions, paged ranges and
long-polling watches. It behaves soundly unless a test makes it fail.
"""

import json
import threading
import time
import urllib.parse

from standins_3 import http_server

PAGE_ITEMS = 500


class Store:
    """The store; ``calls`` counts what it was asked."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 10
        self.last_lease = 100
        # Function of (client address, path) that returns an action: None,
        # ('status', N), ('drop',) or ('late', seconds).
        self.fault = lambda client, path: None

    def put(self, key, value, lease=0):
        """Write a key as the operator does; returns the revision."""
        with self.changed:
            return self._put(key, value, lease)

    def handle(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix('/portwharf/')
        action = self.fault(request.client, name)
        if action and action[0] == 'status':
            return action[1], {}
        if action and action[0] == 'drop':
            return None
        body = json.loads(request.body) if request.body else {}
        status, value = self.carry_out(name, query, body)
        return status, value

    def carry_out(self, name, query, body):
        name, _, argument = name.partition('/')
        method = getattr(self, '_' + name.replace('-', '_'), None)
        if method is None:
            return 404, {}
        with self.changed:
            self._expire()
            return method(query, body, argument)

    def _kv_key(self, query, body, argument):
        item = self.items.get(query['privateKey'])
        if item is None:
            return 404, {'at': self.revision}
        return 200, {**item, 'at': self.revision}

    def _kv_range(self, query, body, argument):
        start = query.get('watchRev', '')
        keys = sorted(
            k
            for k in self.items
            if k.startswith(query['pathPrefix']) and k >= start
        )
        items = [self.items[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {'items': items, 'more': more, 'at': self.revision}

    def _kv_txn(self, query, body, argument):
        expected = body.get('expectedRev', [])
        for row in expected:
            item = self.items.get(row['privateKey'])
            if (item['rev'] if item else 0) != row['rev']:
                names = [one['privateKey'] for one in expected]
                found = [self.items[n] for n in names if n in self.items]
                return 412, {'items': found}
        for one in body.get('put', []):
            if one.get('lease') and one['lease'] not in self.leases:
                return 404, {}
        for one in body.get('put', []):
            self._put(one['privateKey'], one['value'], one.get('lease', 0))
        for key in body.get('remove', []):
            self._remove(key)
        return 200, {'rev': self.revision}

    def _kv_watch(self, query, body, argument):
        after = int(query['watchRev'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            found = [
                e
                for e in self.events
                if e['rev'] > after
                and e['privateKey'].startswith(query['pathPrefix'])
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'at': self.revision}
            self.changed.wait(left)
            self._expire()

    def _kv_lease(self, query, body, argument):
        self.last_lease += 1
        ttl = body['ttl_ms']
        self.leases[self.last_lease] = [time.monotonic() + ttl / 1000, ttl]
        return 200, {'lease': self.last_lease, 'ttl_ms': ttl}

    def _kv_keep(self, query, body, argument):
        lease = self.leases.get(int(argument))
        if lease is None:
            return 404, {}
        lease[0] = time.monotonic() + lease[1] / 1000
        return 200, {'ttl_ms': lease[1]}

    def _kv_lease_end(self, query, body, argument):
        if int(argument) in self.leases:
            self.leases[int(argument)][0] = 0.0
            self._expire()
        return 200, {}

    def _put(self, key, value, lease):
        self.revision += 1
        made = self.items.get(key, {}).get('made', self.revision)
        self.items[key] = {
            'privateKey': key,
            'value': value,
            'rev': self.revision,
            'made': made,
            'lease': lease,
        }
        self.events.append(dict(self.items[key]))
        self.changed.notify_all()
        return self.revision

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            gone = {'privateKey': key, 'rev': self.revision, 'gone': True}
            self.events.append(gone)
            self.changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        over = {n for n, (until, _) in self.leases.items() if until <= now}
        for number in over:
            del self.leases[number]
        for key, item in list(self.items.items()):
            if item['lease'] in over and item['lease']:
                self._remove(key)


def serve(store, address, port):
    return http_server.Server(address, port, store.handle)
