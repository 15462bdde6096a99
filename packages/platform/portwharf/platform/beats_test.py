# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Heartbeats of a runner are taken, and what is none is refused."""

import json

from portwharf.core import data
from portwharf.platform import beats
from portwharf.testing import fixtures

BEAT = {
    'service': 'pool-1',
    'zone': 'zone-1',
    'state': 'draining',
    'remainingMs': 2500,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 2},
    'labels': ['a', 'r1-3'],
    'seq': 4,
    'born': 1790,
}


def send(taken, path, body):
    """Send a call of the runner's."""
    pool = fixtures.WsgiPool(beats.HeartbeatReceiver(taken.append))
    return pool.request('POST', path, json.dumps(body))


def test_heartbeat_is_taken_whole(case):
    taken = []
    path = '/portwharf/instances/i-7/heartbeat'
    case.assertEqual(send(taken, path, BEAT).status, 200)
    (life,) = taken
    case.assertEqual(life.id, data.LifeId('i-7', 1790))
    case.assertEqual(life.pool, 'pool-1')
    case.assertEqual(life.capacity, data.Resources(16000, 32768, 2))
    case.assertEqual((life.draining, life.leaves_in_ms), (True, 2500))
    case.assertEqual(life.seq, 4)


def test_leaving_is_acknowledged(case):
    path = '/portwharf/instances/i-7/deregister'
    case.assertEqual(send([], path, {}).status, 200)


def test_what_is_no_heartbeat_is_refused_with_a_reason(case):
    taken = []
    path = '/portwharf/instances/i-7/heartbeat'
    odd = {**BEAT, 'born': '1790'}
    for body in ([], {}, {'service': 'x', 'capacity': 3}, odd):
        answer = send(taken, path, body)
        case.assertEqual(answer.status, 400)
        case.assertIn(b'not a heartbeat', answer.data)
    case.assertEqual(send(taken, '/other', BEAT).status, 404)
    case.assertEqual(taken, [])
