# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What others write is read whole or refused, whatever it is.

Valid examples with one field, or one item of a list, in the place of which
anything may stand that JSON can carry. What is refused is refused with a
reason; what is taken can be written to the log and read again: a job that
could not would keep every process from reading the shard's log.
"""

import copy
import json

import hypothesis
from hypothesis import strategies

from portwharf.core import codec
from portwharf.core import data
from portwharf.platform import beats
from portwharf.platform import decoding
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
BEAT = {
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
_PLAIN = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**80), 2**80)
    | strategies.floats()
    | strategies.text(strategies.characters(exclude_categories=()))
)
ANYTHING = strategies.recursive(
    _PLAIN,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


def list_places(value, path=()):
    """Return the paths of all that a value is made of."""
    found = [path]
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += list_places(inner, (*path, key))
    return found


def change(value, path, item):
    """Return a value with another item, or none if it is left out."""
    if not path:
        return item
    changed = copy.deepcopy(value)
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = item
    return changed


def for_odd(example, examples=700):
    """Return a decorator: call with odd variants of a valid example."""

    def decorate(check):
        paths = strategies.sampled_from(list_places(example))
        tried = hypothesis.given(paths, ANYTHING)(
            lambda path, item: check(change(example, path, item))
        )
        limits = hypothesis.settings(
            max_examples=examples,
            derandomize=True,
            deadline=None,
            database=None,
        )
        return limits(tried)

    return decorate


def test_job_is_refused_or_can_be_logged(case):
    case.assertTrue(decoding.parse_job(JOB_ID, QUEUE, JOB).is_ok())

    @for_odd(JOB)
    def check(value):
        read = decoding.parse_job(JOB_ID, QUEUE, value)
        if read.is_err():
            case.assertTrue(read.err_value.describe())
            return
        raw = codec.pack(read.ok_value)
        case.assertEqual(codec.unpack(data.Job, raw), read.ok_value)

    check()


def test_configuration_is_refused_or_taken_whole(case):
    text = json.dumps(CONFIG)
    case.assertEqual(len(decoding.parse_config(text, 1).ok_value.queues), 1)

    @for_odd(CONFIG)
    def check(value):
        read = decoding.parse_config(json.dumps(value), 1)
        if read.is_ok():
            for queue in read.ok_value.queues:
                case.assertIsInstance(queue.prefix, str)
                case.assertGreaterEqual(queue.stretch, 0)

    check()


def test_heartbeat_is_refused_or_taken(case):
    taken = []
    pool = fixtures.WsgiPool(beats.HeartbeatReceiver(taken.append))
    path = '/portwharf/instances/i-7/heartbeat'

    @for_odd(BEAT)
    def check(value):
        taken.clear()
        answer = pool.request('POST', path, json.dumps(value))
        case.assertIn(answer.status, (200, 400))
        case.assertEqual(len(taken), answer.status == 200)
        for life in taken:
            lives = workers.Lives()
            lives.offer(life)
            lives.settle(life.id)
            case.assertTrue(life.capacity.fits(life.capacity))
            case.assertTrue(codec.pack(life.capacity))

    check()


def test_list_is_refused_or_has_its_types(case):
    runner_lists.check_lists(LISTS)

    @for_odd(LISTS)
    def check(value):
        try:
            runner_lists.check_lists(value)
        except (ValueError, AttributeError):
            return
        for task, run, saved, *_ in value['running']:
            case.assertIsInstance(task + saved, str)
            case.assertIsInstance(run, int | float)
        for number, task, run, how, *_ in value['ended']:
            case.assertIsInstance(task + how, str)
            case.assertIsInstance(number + run, int | float)

    check()


def test_refusal_names_the_field(case):
    odd = {**JOB, 'steps': [{**STEP, 'requires': 5}]}
    problem = decoding.parse_job(JOB_ID, QUEUE, odd).err_value
    case.assertIn('"requires" is 5, not a string', problem.describe())
    odd = {**JOB, 'steps': [{**STEP, 'watchRev': [3]}]}
    problem = decoding.parse_job(JOB_ID, QUEUE, odd).err_value
    case.assertIn('"watchRev"', problem.describe())


def test_what_is_left_out_has_its_default(case):
    case.assertEqual(json_fields.read_int({}, 'a'), 0)
    case.assertEqual(json_fields.read_int({'a': None}, 'a', 0, 7), 7)
    case.assertEqual(json_fields.read_str({}, 'a'), '')
    case.assertEqual(json_fields.read_list({}, 'a', int), [])
    with case.assertRaises(ValueError):
        json_fields.read_str({}, 'a', None)
