# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""In-memory fake of the platform's key-value service.

It serves the calls of the etcd v3 JSON gateway that the store adapter makes.
Faults can be injected: the service is down or slow, loses requests or
answers, drops watches, or limits the rate of writes. Calls are counted; a
watch counts as one call.
"""

import base64
import dataclasses
import json
import threading
import time

from portwharf.core import web
from portwharf import store

_WATCH_POLL_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults that the store injects.

    :param down: calls are answered with 503, and watches end
    :param slow_seconds: each call is delayed by this
    :param lose_answers: number of writes that take effect, then get a 504
    :param lose_requests: number of writes that get a 504 without effect
    :param drop_watches: watches end
    :param writes_per_second: writes above this get a 429; 0 for no limit
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    drop_watches: bool = False
    writes_per_second: int = 0


@dataclasses.dataclass(slots=True)
class _Value:
    value: str = ''
    revision: int = 0
    created: int = 0


class FakeStore:
    """The key-value service, as a WSGI application.

    Keys and values are kept in base64, as the protocol sends them.
    """

    def __init__(self):
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self._values = {}
        # Revision at which each deleted key was deleted, by decoded key.
        self._deleted_revisions = {}
        self._revision = 1
        self._condition = threading.Condition()
        self._rate_second = 0
        self._writes_this_second = 0

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        body = web.read_json(environ)
        if path == '/control':
            return self._control(body, start_response)
        if self.faults.slow_seconds:
            time.sleep(self.faults.slow_seconds)
        if self.faults.down:
            return _refuse(start_response, 503)
        if path == '/v3/kv/range':
            self.reads += 1
            return web.send_json(start_response, 200, self._range(body))
        if path == '/v3/watch':
            self.watches += 1
            return self._watch(body['create_request'], start_response)
        return self._handle_write(path, body, start_response)

    def close(self):
        """End all watches, so that the server's threads can stop."""
        self.faults.drop_watches = True

    def put(self, key, value):
        """Write a key directly, bypassing the faults.

        :param value: bytes
        """
        with self._condition:
            self._put(_encode(key), base64.b64encode(value).decode())

    def remove(self, key):
        """Delete a key directly, bypassing the faults."""
        with self._condition:
            self._delete({'key': _encode(key)})
            self._condition.notify_all()

    def list_keys(self):
        """Return all keys, decoded and sorted."""
        with self._condition:
            names = [base64.b64decode(key).decode() for key in self._values]
        return sorted(names)

    def _control(self, body, start_response):
        """Set the faults that the body names; answers the call counts."""
        for name, value in body.items():
            setattr(self.faults, name, value)
        counts = {
            'reads': self.reads,
            'writes': self.writes,
            'watches': self.watches,
        }
        return web.send_json(start_response, 200, counts)

    def _handle_write(self, path, body, start_response):
        with self._condition:
            self.writes += 1
            if self._is_over_rate():
                return _refuse(start_response, 429)
            if self.faults.lose_requests > 0:
                self.faults.lose_requests -= 1
                return _refuse(start_response, 504)
            if path == '/v3/kv/txn':
                value = self._transact(body)
            elif path == '/v3/kv/deleterange':
                value = self._delete(body)
            else:
                return _refuse(start_response, 404)
            self._condition.notify_all()
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return _refuse(start_response, 504)
        return web.send_json(start_response, 200, value)

    def _is_over_rate(self):
        limit = self.faults.writes_per_second
        second = int(time.monotonic())
        if second != self._rate_second:
            self._rate_second = second
            self._writes_this_second = 0
        self._writes_this_second += 1
        return bool(limit) and self._writes_this_second > limit

    def _transact(self, body):
        for compare in body.get('compare', []):
            known = self._values.get(compare['key'])
            revision = known.revision if known else 0
            if revision != int(compare['mod_revision']):
                return {'header': self._header(), 'succeeded': False}
        for operation in body.get('success', []):
            put = operation['request_put']
            if len(put['value']) * 3 // 4 > store.MAX_VALUE_BYTES:
                raise AssertionError('value exceeds store.MAX_VALUE_BYTES')
            self._put(put['key'], put['value'])
        return {'header': self._header(), 'succeeded': True}

    def _put(self, key, value):
        self._revision += 1
        self._values[key] = _Value(value, self._revision)
        self._condition.notify_all()

    def _delete(self, body):
        keys = self._select(body)
        if keys:
            self._revision += 1
        for key in keys:
            del self._values[key]
            name = base64.b64decode(key).decode()
            self._deleted_revisions[name] = self._revision
        return {'header': self._header(), 'deleted': str(len(keys))}

    def _range(self, body):
        with self._condition:
            keys = self._select(body)
            limit = int(body.get('limit', 0) or 0)
            if limit:
                keys = keys[:limit]
            keys_only = body.get('keys_only', False)
            kvs = [self._format_item(key, keys_only) for key in keys]
            return {'header': self._header(), 'kvs': kvs}

    def _select(self, body):
        first = body['key']
        last = body.get('range_end')
        if not last:
            return [first] if first in self._values else []
        first_name, end_name = base64.b64decode(first), base64.b64decode(last)
        keys_by_name = {base64.b64decode(key): key for key in self._values}
        return [
            keys_by_name[raw]
            for raw in sorted(keys_by_name)
            if first_name <= raw < end_name
        ]

    def _format_item(self, key, keys_only=False):
        known = self._values[key]
        shown = {'key': key, 'mod_revision': str(known.revision)}
        if not keys_only:
            shown['value'] = known.value
        return shown

    def _header(self):
        return {'revision': str(self._revision)}

    def _watch(self, create, start_response):
        start_response('200 OK', [('Content-Type', 'application/json')])
        return self._stream_changes(create)

    def _stream_changes(self, create):
        start = int(create['start_revision'])
        yield _encode_line({'result': {'created': True}})
        while not self.faults.down and not self.faults.drop_watches:
            with self._condition:
                event = self._find_event(create, start)
                if event is None:
                    self._condition.wait(_WATCH_POLL_SECONDS)
                    continue
                start = int(event['kv']['mod_revision']) + 1
            yield _encode_line({'result': {'events': [event]}})

    def _find_event(self, create, start):
        """Return the earliest event of a watch since a revision, or None."""
        shown = [self._format_item(key) for key in self._select(create)]
        shown += [
            {'key': _encode(name), 'mod_revision': str(revision)}
            for name, revision in self._deleted_revisions.items()
            if self._is_watched(create, name)
        ]
        recent = [row for row in shown if int(row['mod_revision']) >= start]
        if not recent:
            return None
        first = min(recent, key=lambda row: int(row['mod_revision']))
        return {'kv': first}

    def _is_watched(self, create, name):
        """Return whether a deleted key is in a watch's range."""
        last = create.get('range_end')
        first_name = base64.b64decode(create['key'])
        if not last:
            return False
        return first_name <= name.encode() < base64.b64decode(last)


def _encode_line(value):
    return json.dumps(value).encode() + b'\n'


def _refuse(start_response, status):
    return web.send_json(start_response, status, {'error': 'refused'})


def _encode(key):
    return base64.b64encode(key.encode()).decode()
