# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Malformed input from other programs is refused or read completely.

Each test takes a valid example and replaces one field or list item by an
arbitrary JSON value. Refused input has a reason. Accepted input can be written
to the log and read again; a job that could not be read would keep every
process from reading the shard's log.
"""

import copy
import json

import hypothesis
from hypothesis import strategies

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages
from portwharf.platform import decoding
from portwharf.platform import heartbeats
from portwharf.platform import json_fields
from portwharf.platform import runner_lists
from portwharf.scheduler import configuration
from portwharf.testing import fixtures
from portwharf import workers

JOB_ID = '5c0e7a21d94b36f8'
QUEUE = configuration.Queue('plans', 'desk.example', '/plans/', 'pool')
STEP = {
    'count': 4,
    'cpu': 500,
    'memMb': 256,
    'gpu': 1,
    'estimateMs': 900,
    'requires': 'a',
    'affinity': 'r1-3',
    'antiAffinity': 2,
    'image': 'plan',
    'checkpoints': True,
    'gang': False,
    'sameRack': False,
    'target_ms': 40,
    'may_miss': 1,
}
JOB = {
    'spec': 'text',
    'steps': [STEP, {'count': 2, 'cpu': 2000, 'watchRev': [0]}],
    'maxRuns': 2,
    'initialMs': 1_790_000_000_000,
    'intervalMs': 1000,
}
HEARTBEAT = {
    'service': 'pool',
    'zone': 'zone',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 2},
    'labels': ['a', 'r1-3'],
    'remainingMs': 2500,
    'seq': 4,
    'born': 1_790_000_000_000,
}
LISTS = {
    'clockMs': 482113,
    'born': 1_790_000_000_000,
    'running': [[f'{JOB_ID}.0.1.17', 2, 'saved', 41, 7]],
    'ended': [[58, f'{JOB_ID}.0.1.9', 1, 'done', '']],
}
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'plans',
            'host': 'desk.example',
            'pathPrefix': '/plans/',
            'service': 'pool',
            'priority': 1,
            'maxAttempts': 3,
            'stretch': 2.5,
            'targetLatencyMs': 1000,
            'advice': {'decide_ms': 1, 'valid_ms': 900},
        }
    ],
}
_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**80), 2**80)
    | strategies.sampled_from([10**400, -(10**400), 2**64, 2**70])
    | strategies.floats()
    | strategies.text(strategies.characters(exclude_categories=()))
)
ANY_JSON = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


def list_paths(value, path=()):
    """Return the paths of a value and of all values in it."""
    found = [path]
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += list_paths(inner, (*path, key))
    return found


def change(value, path, item):
    """Return a copy of a value with another item at a path."""
    if not path:
        return item
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = item
    return changed


def for_variants(example, examples=700):
    """Return a decorator that runs a check on variants of an example."""

    def decorate(check):
        paths = strategies.sampled_from(list_paths(example))
        check_variant = hypothesis.given(paths, ANY_JSON)(
            lambda path, item: check(change(example, path, item))
        )
        limits = hypothesis.settings(
            max_examples=examples,
            derandomize=True,
            deadline=None,
            database=None,
        )
        return limits(check_variant)

    return decorate


def test_job_is_refused_or_loggable(case):
    case.assertTrue(decoding.parse_job(JOB_ID, QUEUE, JOB).is_ok())

    @for_variants(JOB)
    def check(value):
        read = decoding.parse_job(JOB_ID, QUEUE, value)
        if read.is_err():
            case.assertTrue(read.err_value.describe())
            return
        raw = codec.pack(read.ok_value)
        case.assertEqual(codec.unpack(data.Job, raw), read.ok_value)

    check()


def test_configuration_is_refused_or_accepted(case):
    text = json.dumps(CONFIG)
    case.assertEqual(len(decoding.parse_config(text, 1).ok_value.queues), 1)

    @for_variants(CONFIG)
    def check(value):
        read = decoding.parse_config(json.dumps(value), 1)
        if read.is_ok():
            for queue in read.ok_value.queues:
                case.assertIsInstance(queue.prefix, str)
                case.assertGreaterEqual(queue.stretch, 0)

    check()


def test_odd_route_is_left_out_and_the_others_hold(case):
    """Guards against a configuration thread that ends (incident 0035)."""
    good = CONFIG['routes'][0]
    before = fixtures.read_counter('portwharf_unreadable', kind='route')
    odd = [{**good, 'name': 'odd', 'host': 7}]
    for name in ('priority', 'maxAttempts', 'targetLatencyMs', 'stretch'):
        odd += [{**good, 'name': 'odd', name: n} for n in (10**400, -1, [])]
    odd += [
        {**good, 'name': 'odd', 'advice': a} for a in (7, {'valid_ms': []})
    ]
    for route in odd:
        text = json.dumps({**CONFIG, 'routes': [route, good]})
        (queue,) = decoding.parse_config(text, 1).ok_value.queues
        case.assertEqual(queue.name, good['name'])
    after = fixtures.read_counter('portwharf_unreadable', kind='route')
    case.assertEqual(after - before, len(odd))
    for text in ('[' * 60_000, '[]', '7', 'null', '{"routes": 7}'):
        case.assertTrue(decoding.parse_config(text, 1).is_err())


def test_heartbeat_is_refused_or_accepted(case):
    accepted = []
    pool = fixtures.WsgiPool(heartbeats.HeartbeatReceiver(accepted.append))
    path = '/portwharf/instances/i-7/heartbeat'

    @for_variants(HEARTBEAT)
    def check(value):
        accepted.clear()
        answer = pool.request('POST', path, json.dumps(value))
        case.assertIn(answer.status, (200, 400))
        case.assertEqual(len(accepted), answer.status == 200)
        for life in accepted:
            tracker = workers.IncarnationTracker()
            tracker.record_heartbeat(life)
            tracker.confirm(life.id)
            case.assertTrue(life.capacity.fits(life.capacity))
            case.assertTrue(codec.pack(life.capacity))

    check()


def test_lists_are_refused_or_can_be_reported(case):
    def never(task):
        return False

    case.assertEqual(runner_lists.read_lists(LISTS, never), LISTS)

    @for_variants(LISTS)
    def check(value):
        if not isinstance(value, dict):
            # The client of all answers returns objects only.
            return
        try:
            found = runner_lists.read_lists(value, never)
        except (ValueError, AttributeError):
            # An odd row alone is no reason.
            lists = [value.get(one) for one in ('running', 'ended')]
            is_odd = not all(isinstance(one, list) for one in lists)
            case.assertTrue(is_odd or value['clockMs'] != LISTS['clockMs'])
            return
        reports = [
            messages.TaskReport(
                task, run, 'running', saved, cpu_milli=used, memory_mb=percent
            )
            for task, run, saved, percent, used in found['running']
        ]
        reports += [
            messages.TaskReport(task, run, how, saved)
            for _, task, run, how, saved in found['ended']
        ]
        raw = codec.pack(messages.Reports(True, reports))
        read = codec.unpack(messages.Reports, raw)
        case.assertEqual(read.reports, reports)
        for number, *_ in found['ended']:
            case.assertEqual(json.loads(json.dumps(number)), number)

    check()


def test_error_names_the_field(case):
    malformed = {**JOB, 'steps': [{**STEP, 'requires': 5}]}
    problem = decoding.parse_job(JOB_ID, QUEUE, malformed).err_value
    case.assertIn('"requires" is 5, not a string', problem.describe())
    malformed = {**JOB, 'steps': [{**STEP, 'watchRev': [3]}]}
    problem = decoding.parse_job(JOB_ID, QUEUE, malformed).err_value
    case.assertIn('"watchRev"', problem.describe())


def test_missing_field_has_its_default(case):
    case.assertEqual(json_fields.read_int({}, 'a'), 0)
    case.assertEqual(json_fields.read_int({'a': None}, 'a', 0, 7), 7)
    case.assertEqual(json_fields.read_str({}, 'a'), '')
    case.assertEqual(json_fields.read_list({}, 'a', int), [])
    with case.assertRaises(ValueError):
        json_fields.read_str({}, 'a', None)
