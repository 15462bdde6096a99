# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tests of the receiver of a runner's heartbeats."""

import io
import json

from portwharf.core import data
from portwharf.platform import heartbeats
from portwharf.testing import fixtures

HEARTBEAT = {
    'service': 'pool-1',
    'zone': 'zone-1',
    'state': 'draining',
    'remainingMs': 2500,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 2},
    'labels': ['a', 'r1-3'],
    'seq': 4,
    'born': 1790,
}


def send(received, path, body):
    """Send a runner's request to a receiver."""
    pool = fixtures.WsgiPool(heartbeats.HeartbeatReceiver(received.append))
    return pool.request('POST', path, json.dumps(body))


def test_all_fields_of_a_heartbeat_are_read(case):
    received = []
    path = '/portwharf/instances/i-7/heartbeat'
    case.assertEqual(send(received, path, HEARTBEAT).status, 200)
    (life,) = received
    case.assertEqual(life.id, data.IncarnationId('i-7', 1790))
    case.assertEqual(life.pool, 'pool-1')
    case.assertEqual(life.capacity, data.Resources(16000, 32768, 2))
    case.assertEqual((life.draining, life.leaves_in_ms), (True, 2500))
    case.assertEqual(life.seq, 4)


def test_deregistration_is_acknowledged(case):
    path = '/portwharf/instances/i-7/deregister'
    case.assertEqual(send([], path, {}).status, 200)


def test_length_that_is_no_number_is_refused(case):
    received, statuses = [], []
    receiver = heartbeats.HeartbeatReceiver(received.append)
    for length in ('long', '-1', '\xb2'):
        environ = {
            'PATH_INFO': '/portwharf/instances/i-7/heartbeat',
            'CONTENT_LENGTH': length,
            'wsgi.input': io.BytesIO(json.dumps(HEARTBEAT).encode()),
        }
        receiver(environ, lambda status, _: statuses.append(status))
    case.assertEqual(statuses, ['400 Bad Request'] * 3)
    case.assertEqual(received, [])


def test_malformed_heartbeat_is_refused_with_a_reason(case):
    received = []
    path = '/portwharf/instances/i-7/heartbeat'
    bad_birth = {**HEARTBEAT, 'born': '1790'}
    for body in ([], {}, {'service': 'x', 'capacity': 3}, bad_birth):
        answer = send(received, path, body)
        case.assertEqual(answer.status, 400)
        case.assertIn(b'not a heartbeat', answer.data)
    case.assertEqual(send(received, '/other', HEARTBEAT).status, 404)
    case.assertEqual(received, [])


def test_odd_instance_id_is_refused(case):
    """An order could not be sent to it, and would end the side."""
    received = []
    before = fixtures.read_counter('portwharf_unreadable', kind='heartbeat')
    odd = ('i\n7', 'i 7', '\ud800', 'i\u20ac', 'x' * 201, 'i\0')
    for instance in odd:
        path = f'/portwharf/instances/{instance}/heartbeat'
        case.assertEqual(send(received, path, HEARTBEAT).status, 400)
    case.assertEqual(received, [])
    after = fixtures.read_counter('portwharf_unreadable', kind='heartbeat')
    case.assertEqual(after - before, len(odd))


def test_odd_field_is_refused_and_counted(case):
    received = []
    path = '/portwharf/instances/i-7/heartbeat'
    deep = json.loads('[' * 900 + ']' * 900)
    odd = (10**400, 2**64, -1, float('inf'), deep, '7', [])
    before = fixtures.read_counter('portwharf_unreadable', kind='heartbeat')
    for item in odd:
        for name in ('seq', 'born', 'remainingMs', 'capacity'):
            body = {**HEARTBEAT, name: item}
            case.assertEqual(send(received, path, body).status, 400)
        body = {**HEARTBEAT, 'capacity': {'cpu': item}}
        case.assertEqual(send(received, path, body).status, 400)
    case.assertEqual(received, [])
    after = fixtures.read_counter('portwharf_unreadable', kind='heartbeat')
    case.assertEqual(after - before, 5 * len(odd))
    case.assertEqual(send(received, path, HEARTBEAT).status, 200)
