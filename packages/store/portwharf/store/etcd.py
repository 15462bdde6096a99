# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Store client for the JSON gateway of etcd, version 3.

The gateway's JSON encodes keys and values as base64 and 64-bit integers as
strings. The client uses ``/v3/kv/range``, ``/v3/kv/txn``,
``/v3/kv/deleterange`` and ``/v3/watch``.
"""

import base64
import json

import result
import urllib3

from portwharf.core import json_input
from portwharf.core import pools
from portwharf.store import base

CALL_TIMEOUT_SECONDS = 2.0
# Idle connections that are kept; each watch occupies a connection.
_POOL_SIZE = 8


class EtcdStore(base.Store):
    """A client of the gateway, which the context manager closes."""

    def __init__(self, pool, call_seconds=CALL_TIMEOUT_SECONDS):
        """Create a client; see :func:`open_etcd`.

        :param pool: a connection pool for the gateway
        :param call_seconds: the timeout of a call
        """
        self._timeout_seconds = call_seconds
        self._pool = pool

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.close()

    def read(self, key):
        body = {'key': _encode(key.encode())}
        answer = self._call('/v3/kv/range', body)
        return answer.and_then(lambda value: _decode(value, _read_first))

    def read_range(self, first, last, limit=0, keys_only=False):
        body = {
            'key': _encode(first.encode()),
            'range_end': _encode(last.encode()),
            'limit': str(limit),
            'sort_order': 'ASCEND',
            'sort_target': 'KEY',
            'keys_only': keys_only,
        }
        answer = self._call('/v3/kv/range', body)
        return answer.and_then(lambda value: _decode(value, _read_entries))

    def swap(self, key, value, revision, guard=None):
        compares = [_make_compare(key, revision)]
        if guard is not None:
            compares.append(_make_compare(guard.key, guard.revision))
        put = {'key': _encode(key.encode()), 'value': _encode(value)}
        body = {'compare': compares, 'success': [{'request_put': put}]}
        answer = self._call('/v3/kv/txn', body, changes=True)
        return answer.and_then(
            lambda value: _decode(value, _read_swap, unknown=True)
        )

    def delete_range(self, first, last):
        body = {
            'key': _encode(first.encode()),
            'range_end': _encode(last.encode()),
        }
        answer = self._call('/v3/kv/deleterange', body, changes=True)
        return answer.and_then(
            lambda value: _decode(value, _read_deleted, unknown=True)
        )

    def wait_for_change(self, key, revision, timeout):
        create = {
            'key': _encode(key.encode()),
            'start_revision': str(revision + 1),
        }
        return self._watch(create, timeout)

    def list_keys(self, prefix):
        body = {**_make_range(prefix), 'keys_only': True}
        answer = self._call('/v3/kv/range', body)
        return answer.and_then(lambda value: _decode(value, _read_names))

    def wait_for_key_changes(self, prefix, revision, timeout):
        create = {
            **_make_range(prefix),
            'start_revision': str(revision + 1),
        }
        changed = self._watch(create, timeout)
        return changed.map(
            lambda entry: base.KeyList(revision=0 if entry else revision)
        )

    def _watch(self, create, timeout):
        """Wait for the first change that a watch reports.

        :param create: the fields of the gateway's ``create_request``
        :param timeout: in seconds
        :returns: Ok(Entry), Ok(None) if there was none, or Err(StoreError)
        """
        try:
            response = self._pool.request(
                'POST',
                '/v3/watch',
                body=json.dumps({'create_request': create}),
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=self._timeout_seconds, read=timeout
                ),
            )
        except urllib3.exceptions.HTTPError as exc:
            return result.Err(base.StoreError(str(exc)))
        with response:
            return _read_watch(response)

    def _call(self, path, body, changes=False):
        """Make one call.

        :param changes: whether the call writes, so that its effect is
            unknown without an answer
        :returns: Ok(map), or Err(StoreError)
        """
        try:
            response = self._pool.request(
                'POST',
                path,
                body=json.dumps(body),
                timeout=self._timeout_seconds,
            )
        except urllib3.exceptions.NewConnectionError as exc:
            return result.Err(base.StoreError(str(exc)))
        except urllib3.exceptions.HTTPError as exc:
            if isinstance(exc, urllib3.exceptions.TimeoutError):
                pools.close_idle_connections(self._pool)
            return result.Err(base.StoreError(str(exc), unknown=changes))
        return _read_response(response, changes)


def open_etcd(address, port):
    """Return an :class:`EtcdStore` for a gateway's IP address and port."""
    return EtcdStore(
        urllib3.HTTPConnectionPool(
            address, port, maxsize=_POOL_SIZE, retries=False, block=False
        )
    )


def _read_response(response, changes):
    # The gateway sends 429 before it processes the request. Any other error
    # may come from a proxy after the request has taken effect.
    if response.status == 429:
        return result.Err(base.StoreError('rate exceeded'))
    if response.status != 200:
        text = f'HTTP status {response.status}'
        return result.Err(base.StoreError(text, unknown=changes))
    try:
        return result.Ok(json_input.decode_object(response.data))
    except ValueError as exc:
        return result.Err(base.StoreError(str(exc), unknown=changes))


def _decode(value, read, unknown=False):
    """Return Ok(what a function reads of a body), or Err(StoreError).

    :param unknown: the call may have taken effect
    """
    try:
        return result.Ok(read(value))
    except json_input.DECODE_ERRORS as exc:
        text = f'unreadable answer: {type(exc).__name__}'
        return result.Err(base.StoreError(text, unknown))


def _read_watch(response):
    """Return the first change in the stream of lines of a watch."""
    if response.status != 200:
        return result.Err(base.StoreError(f'HTTP status {response.status}'))
    try:
        buffer = b''
        for part in response.stream(amt=None):
            buffer += part
            *lines, buffer = buffer.split(b'\n')
            for line in lines:
                entry = _read_watch_line(line)
                if entry is not None:
                    return result.Ok(entry)
    except urllib3.exceptions.HTTPError:
        return result.Ok(None)
    except json_input.DECODE_ERRORS as exc:
        text = f'unreadable answer: {type(exc).__name__}'
        return result.Err(base.StoreError(text))
    return result.Ok(None)


def _read_watch_line(line):
    if not line.strip():
        return None
    value = json_input.decode_object(line)
    events = value.get('result', {}).get('events', [])
    if not events:
        return None
    return _read_entry(events[-1]['kv'])


def _make_range(prefix):
    """Return the range fields for all keys that begin with a prefix."""
    last = base.find_prefix_end(prefix)
    return {
        'key': _encode(prefix.encode()),
        'range_end': _encode(last.encode()),
    }


def _read_names(value):
    keys = [entry.key for entry in _read_entries(value)]
    return base.KeyList(keys, int(value['header']['revision']))


def _read_first(value):
    kvs = value.get('kvs')
    return _read_entry(kvs[0]) if kvs else None


def _read_deleted(value):
    return int(value.get('deleted', 0))


def _read_entries(value):
    return [_read_entry(kv) for kv in value.get('kvs', [])]


def _read_entry(kv):
    return base.Entry(
        base64.b64decode(kv['key']).decode(),
        base64.b64decode(kv.get('value', '')),
        int(kv['mod_revision']),
    )


def _make_compare(key, revision):
    """Return the condition that a key's revision is unchanged."""
    return {
        'key': _encode(key.encode()),
        'result': 'EQUAL',
        'target': 'MOD',
        'mod_revision': str(revision),
    }


def _read_swap(value):
    if not value.get('succeeded'):
        return base.WriteResult()
    return base.WriteResult(True, int(value['header']['revision']))


def _encode(raw):
    return base64.b64encode(raw).decode()
