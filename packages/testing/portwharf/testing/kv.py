# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stand-in for the platform's key-value service.

It answers the calls of the etcd v3 JSON gateway that the store adapter
makes, from memory, and can be told to be down, slow, to lose answers after
the effect, to drop watches, or to refuse calls over a rate. It counts every
call, a waiting watch as one.
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
    """What is wrong with the store now.

    :param lose_answers: this many changes take effect without an answer
    :param lose_requests: this many changes are dropped without an answer
    :param writes_per_second: more are refused; 0 for no limit
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


class StoreStandIn:
    """The key-value service, as a WSGI application."""

    def __init__(self):
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self._values = {}
        # When keys were deleted, by their names: the store's revision.
        self._gone = {}
        self._revision = 1
        self._changed = threading.Condition()
        self._second = 0
        self._written = 0

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
            return web.answer_json(start_response, 200, self._range(body))
        if path == '/v3/watch':
            self.watches += 1
            return self._watch(body['create_request'], start_response)
        return self._change(path, body, start_response)

    def close(self):
        """End all watches, so that the server can stop."""
        self.faults.drop_watches = True

    def put(self, key, value):
        """Write a key from outside, as the platform's owner might."""
        with self._changed:
            self._put(_encode(key), base64.b64encode(value).decode())

    def remove(self, key):
        """Delete a key from outside."""
        with self._changed:
            self._delete({'key': _encode(key)})
            self._changed.notify_all()

    def list_keys(self):
        """Return all keys, as text, in order."""
        with self._changed:
            names = [base64.b64decode(key).decode() for key in self._values]
        return sorted(names)

    def _control(self, body, start_response):
        """Set faults; answer with the counts of calls."""
        for name, value in body.items():
            setattr(self.faults, name, value)
        counts = {
            'reads': self.reads,
            'writes': self.writes,
            'watches': self.watches,
        }
        return web.answer_json(start_response, 200, counts)

    def _change(self, path, body, start_response):
        with self._changed:
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
            self._changed.notify_all()
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return _refuse(start_response, 504)
        return web.answer_json(start_response, 200, value)

    def _is_over_rate(self):
        limit = self.faults.writes_per_second
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        return bool(limit) and self._written > limit

    def _transact(self, body):
        for compare in body.get('compare', []):
            known = self._values.get(compare['key'])
            revision = known.revision if known else 0
            if revision != int(compare['mod_revision']):
                return {'header': self._header(), 'succeeded': False}
        for operation in body.get('success', []):
            put = operation['request_put']
            if len(put['value']) * 3 // 4 > store.MAX_VALUE_BYTES:
                raise ValueError('the value is too large for the store')
            self._put(put['key'], put['value'])
        return {'header': self._header(), 'succeeded': True}

    def _put(self, key, value):
        self._revision += 1
        self._values[key] = _Value(value, self._revision)
        self._changed.notify_all()

    def _delete(self, body):
        keys = self._select(body)
        if keys:
            self._revision += 1
        for key in keys:
            del self._values[key]
            name = base64.b64decode(key).decode()
            self._gone[name] = self._revision
        return {'header': self._header(), 'deleted': str(len(keys))}

    def _range(self, body):
        with self._changed:
            keys = self._select(body)
            limit = int(body.get('limit', 0) or 0)
            if limit:
                keys = keys[:limit]
            bare = body.get('keys_only', False)
            kvs = [self._show(key, bare) for key in keys]
            return {'header': self._header(), 'kvs': kvs}

    def _select(self, body):
        first = body['key']
        last = body.get('range_end')
        if not last:
            return [first] if first in self._values else []
        low, high = base64.b64decode(first), base64.b64decode(last)
        named = {base64.b64decode(key): key for key in self._values}
        return [named[raw] for raw in sorted(named) if low <= raw < high]

    def _show(self, key, bare=False):
        known = self._values[key]
        shown = {'key': key, 'mod_revision': str(known.revision)}
        if not bare:
            shown['value'] = known.value
        return shown

    def _header(self):
        return {'revision': str(self._revision)}

    def _watch(self, create, start_response):
        start_response('200 OK', [('Content-Type', 'application/json')])
        return self._stream_changes(create)

    def _stream_changes(self, create):
        start = int(create['start_revision'])
        yield _line({'result': {'created': True}})
        while not self.faults.down and not self.faults.drop_watches:
            with self._changed:
                event = self._find_event(create, start)
                if event is None:
                    self._changed.wait(_WATCH_POLL_SECONDS)
                    continue
                start = int(event['kv']['mod_revision']) + 1
            yield _line({'result': {'events': [event]}})

    def _find_event(self, create, start):
        """Return the first change to what a watch asks for, or None."""
        shown = [self._show(key) for key in self._select(create)]
        shown += [
            {'key': _encode(name), 'mod_revision': str(revision)}
            for name, revision in self._gone.items()
            if self._is_watched(create, name)
        ]
        fresh = [one for one in shown if int(one['mod_revision']) >= start]
        if not fresh:
            return None
        first = min(fresh, key=lambda one: int(one['mod_revision']))
        return {'kv': first}

    def _is_watched(self, create, name):
        """Tell whether a watch asks for a key that has gone."""
        last = create.get('range_end')
        low = base64.b64decode(create['key'])
        if not last:
            return False
        return low <= name.encode() < base64.b64decode(last)


def _line(value):
    return json.dumps(value).encode() + b'\n'


def _refuse(start_response, status):
    return web.answer_json(start_response, status, {'error': 'refused'})


def _encode(key):
    return base64.b64encode(key.encode()).decode()
