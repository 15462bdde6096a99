# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Operators' calls over the wire format, and validation of workloads."""

import json

import result

from portwharf.core import data
from portwharf import operators
from portwharf.operators import validators
from portwharf.scheduler import operations
from portwharf.testing import fixtures
from portwharf.v1 import operators_connect
from portwharf.v1 import operators_pb as pb

PATH = '/portwharf.v1.OperatorService/'
WORKLOAD = {
    'name': 'plans',
    'team': 'lens',
    'kind': 'KIND_BATCH',
    'resources': {'cpuMilli': 1000, 'memoryMb': 500},
    'count': 3,
    'program': 'surface-plan',
}


class FakeBackend(operators.Backend):
    """Accepts all calls, or refuses submissions with a given problem."""

    def __init__(self):
        self.submissions = []
        self.shards = []
        self.problem = None

    def submit(self, submission):
        if self.problem:
            return result.Err([self.problem])
        self.submissions.append(submission)
        return result.Ok(operations.Accepted('0-id', True))

    def change(self, change):
        return result.Ok(operations.Accepted(change.id))

    def cancel(self, workload_id):
        return result.Ok(operations.Cancelled(2))

    def list_workloads(self, query):
        view = operations.WorkloadView('0-id', fixtures.make_workload())
        return result.Ok([view])

    def list_tasks(self, workload_id):
        return result.Ok([])

    def explain(self, subject):
        return result.Ok(operations.Explanation(subject, 'waiting'))

    def read_shards(self):
        return result.Ok(self.shards)

    def read_config(self):
        return operations.Accepted()

    def propose_config(self, base_revision, text):
        return result.Ok(7)

    def read_config_status(self):
        return {}

    def read_burn(self):
        return []


def make_pool(backend):
    """Return a pool that calls the service's WSGI application."""
    return fixtures.WsgiPool(
        operators_connect.OperatorServiceWSGIApplication(
            operators.OperatorService(backend)
        )
    )


def post(backend, method, value):
    """Post JSON as ``curl`` would.

    :returns: the status and the JSON value of the answer
    """
    raw = value if isinstance(value, str) else json.dumps(value)
    answer = make_pool(backend).request(
        'POST', PATH + method, raw, {'Content-Type': 'application/json'}
    )
    return answer.status, json.loads(answer.data)


def test_json_submission_is_accepted(case):
    backend = FakeBackend()
    body = {'workload': WORKLOAD, 'key': 'monday'}
    status, answer = post(backend, 'CreateWorkload', body)
    case.assertEqual((status, answer['id']), (200, '0-id'))
    (submission,) = backend.submissions
    case.assertEqual(submission.key, 'monday')
    case.assertEqual(submission.workload.resources.cpu_milli, 1000)
    case.assertTrue(submission.workload.exclusive)


def test_bad_json_is_refused_with_a_reason(case):
    status, answer = post(FakeBackend(), 'CreateWorkload', '{"workload": ')
    case.assertEqual((status, answer['code']), (400, 'invalid_argument'))


def test_every_bad_field_is_named(case):
    backend = FakeBackend()
    bad = {**WORKLOAD, 'name': 'a b', 'count': 0, 'importance': 5000}
    bad['resources'] = {'cpuMilli': 0, 'memoryMb': 500}
    status, answer = post(backend, 'CreateWorkload', {'workload': bad})
    case.assertEqual(status, 400)
    for field in ('name', 'count', 'importance', 'resources.cpu_milli'):
        case.assertIn(f'workload.{field}:', answer['message'])
    case.assertEqual(len(answer['details']), 4)
    case.assertEqual(backend.submissions, [])


def test_missing_workload_is_refused(case):
    status, _ = post(FakeBackend(), 'CreateWorkload', {})
    case.assertEqual(status, 400)


def test_outage_is_reported_as_unavailable(case):
    backend = FakeBackend()
    backend.problem = data.Problem('not-accepted', text='the store is down')
    status, answer = post(backend, 'CreateWorkload', {'workload': WORKLOAD})
    case.assertEqual((status, answer['code']), (503, 'unavailable'))


def test_status_shows_the_load_of_each_capacity_class(case):
    """No field of a capacity class is lost on the way to the operator."""
    backend = FakeBackend()
    capacity = operations.CapacityReport(
        'east', True, 2500, 90, True, 7, 3, ['queue-2 zone b']
    )
    backend.shards = [operations.ShardReport(4, capacity=[capacity])]
    status, answer = post(backend, 'ClusterStatus', {})
    case.assertEqual(status, 200)
    (shown,) = answer['shards'][0]['capacity']
    expected = {
        'pool': 'east',
        'fills': True,
        'rateMilli': '2500',
        'backlogSeconds': '90',
        'isShort': True,
        'refused': '7',
        'returning': 3,
        'owed': ['queue-2 zone b'],
    }
    case.assertEqual(shown, expected)


def test_client_uses_the_binary_encoding(case):
    client = operators.Client([])
    client._pools = [make_pool(FakeBackend())]
    answer = client.call(
        'portwharf.v1.OperatorService',
        'CancelWorkload',
        pb.CancelWorkloadRequest(id='0-id'),
        pb.CancelWorkloadResponse,
    )
    case.assertEqual(answer.ok_value.cancelled, 2)


def test_client_skips_an_unreachable_entry(case):
    app = make_pool(FakeBackend()).app
    port = fixtures.serve(case, app)
    client = operators.Client([('127.0.0.1', 1), ('127.0.0.1', port)])
    answer = client.call(
        'portwharf.v1.OperatorService',
        'ListWorkloads',
        pb.ListWorkloadsRequest(),
        pb.ListWorkloadsResponse,
    )
    case.assertEqual(answer.ok_value.workloads[0].workload.name, 'plans')


def test_client_returns_the_error_code(case):
    backend = FakeBackend()
    backend.problem = data.Problem('key-in-use', 'key', text='is in use')
    client = operators.Client([])
    client._pools = [make_pool(backend)]
    req = pb.CreateWorkloadRequest(
        workload=pb.Workload.from_json(json.dumps(WORKLOAD))
    )
    answer = client.call(
        'portwharf.v1.OperatorService',
        'CreateWorkload',
        req,
        pb.CreateWorkloadResponse,
    )
    case.assertEqual(answer.err_value.code, 'already_exists')


def test_every_validator_can_fail(case):
    invalid = {
        validators.check_names: {'name': ''},
        validators.check_kind: {'kind': 7},
        validators.check_resources: {'resources': data.Resources(1, 0)},
        validators.check_ranges: {'count': 0},
        validators.check_batch_fields: {
            'kind': data.Kind.SERVICE,
            'run_seconds': 5,
        },
        validators.check_deadline: {'run_seconds': 9, 'deadline_seconds': 5},
        validators.check_argument: {'argument': bytes(65537)},
    }
    case.assertEqual(set(invalid), set(validators.CHECKS))
    for check, fields in invalid.items():
        case.assertEqual(len(check(fixtures.make_workload(**fields))), 1)
        case.assertEqual(check(fixtures.make_workload()), [])
