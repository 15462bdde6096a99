# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which calls an owner takes while a pass is under way."""

import threading
import types

import prometheus_client

from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler import events
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs_test
from portwharf.scheduler import operations
from portwharf.scheduler import operator_api
from portwharf.scheduler import state
from portwharf.testing import fixtures

LEFT_MS = 1350


class BusyOwner:
    """An owner whose pass goes on for a while.

    :ivar wait_seconds: how long the pass goes on
    :ivar taken: the methods of the calls that it has taken
    :ivar answer: whether it answers calls as it takes them
    """

    def __init__(self):
        self.wait_seconds = 0.0
        self.taken = []
        self.answer = False

    def is_confirmed(self):
        """Return True."""
        return True

    def accepts_calls(self):
        """Return True."""
        return True

    def estimate_wait_seconds(self):
        """Return how long the pass goes on."""
        return self.wait_seconds

    def take_call(self, call):
        """Keep a call's method."""
        self.taken.append(call.method)
        if self.answer:
            call.fut.set_result(operations.Accepted())


def make_api(jobs=()):
    """Return the API of a busy owner, and the owner.

    :param jobs: ids of accepted jobs
    """
    made = state.ShardState()
    made.jobs.update((job, None) for job in jobs)
    busy = BusyOwner()
    env = types.SimpleNamespace(clock=clock.ManualClock())
    deciding = types.SimpleNamespace(
        unlogged_job_ends=set(),
        waiting={},
        make_capacity_reports=lambda: [],
        explain_refusal=lambda job_id: None,
    )
    lock = threading.RLock()
    members = types.SimpleNamespace(view_vms=lambda: [])
    api = operator_api.OperatorApi(env, busy, lock, made, members, deciding)
    return api, busy


def make_call(method, left_ms=LEFT_MS):
    """Return the operation of a call."""
    job = jobs_test.make_job(jobs_test.make_step())
    arguments = {
        'submit-job': job_operations.JobSubmission(job),
        'submit': operations.Submission('', fixtures.make_workload()),
        'change': operations.Change('0-1', fixtures.make_workload()),
    }.get(method, operations.Query(job.id))
    return messages.Operation(1, method, codec.pack(arguments), left_ms)


def execute(api, operation):
    """Return the results that a call gets at once."""
    results = []
    api.execute_operation(operation, results.append)
    return results


def test_call_that_a_pass_would_outlast_is_refused_at_once(case):
    api, busy = make_api()
    busy.wait_seconds = 2.5
    for method in ('submit-job', 'submit', 'change'):
        (answer,) = execute(api, make_call(method))
        case.assertEqual(answer.status, 'refused')
        case.assertEqual(answer.problems[0].code, 'not-accepted')
    case.assertEqual(busy.taken, [])


def test_call_that_is_too_large_for_the_log_is_refused(case):
    api, busy = make_api()
    call = make_call('submit-job')
    call.body += bytes(operator_api.MAX_ARGUMENT_BYTES)
    (answer,) = execute(api, call)
    case.assertEqual(answer.status, 'refused')
    case.assertEqual(answer.problems[0].code, operations.CODE_BAD_ARGUMENTS)
    case.assertIn('at most', answer.problems[0].describe())
    case.assertEqual(busy.taken, [])


def test_call_that_may_be_in_time_is_taken(case):
    api, busy = make_api()
    for seconds in (0.0, 1.0, 2.0):
        busy.wait_seconds = seconds
        case.assertEqual(execute(api, make_call('submit-job')), [])
    case.assertEqual(len(busy.taken), 3)


def test_call_without_a_deadline_is_taken(case):
    api, busy = make_api()
    busy.wait_seconds = 1000.0
    case.assertEqual(execute(api, make_call('submit-job', 0)), [])
    case.assertEqual(busy.taken, ['submit-job'])


def test_cancellations_and_reads_are_never_refused_for_a_pass(case):
    api, busy = make_api()
    busy.wait_seconds = 1000.0
    for method in operator_api.CANCELS:
        case.assertEqual(execute(api, make_call(method)), [])
    case.assertEqual(busy.taken, list(operator_api.CANCELS))
    (answer,) = execute(api, make_call('read-job'))
    case.assertEqual(answer.status, 'ok')


def test_job_that_was_accepted_is_not_refused_when_sent_again(case):
    job = jobs_test.make_job(jobs_test.make_step())
    api, busy = make_api([job.id])
    busy.wait_seconds = 1000.0
    case.assertEqual(execute(api, make_call('submit-job')), [])
    case.assertEqual(busy.taken, ['submit-job'])


def test_job_that_waits_is_not_refused_when_sent_again(case):
    api, busy = make_api()
    results = []
    api.execute_operation(make_call('submit-job'), results.append)
    busy.wait_seconds = 1000.0
    case.assertEqual(execute(api, make_call('submit-job')), [])
    busy.accepts_calls = lambda: False
    (answer,) = execute(api, make_call('submit-job'))
    case.assertEqual(answer.status, 'unknown')
    case.assertEqual((busy.taken, results), (['submit-job'] * 2, []))


def test_refusal_is_unknown_while_another_submission_is_pending(case):
    """The other submission may still be accepted, and the job run."""
    api, busy = make_api()
    calls = []
    busy.take_call = calls.append
    results = []
    for _ in range(2):
        api.execute_operation(make_call('submit-job'), results.append)
    for call in calls:
        call.fut.set_result(data.Problem(job_admission.CODE_NO_ROOM))
    statuses = [answer.status for answer in results]
    case.assertEqual(statuses, ['unknown', 'refused'])
    case.assertEqual(results[1].problems[0].code, 'no-room')


def test_wait_of_a_call_begins_when_its_message_came(case):
    def read_sum():
        return prometheus_client.REGISTRY.get_sample_value(
            'portwharf_owner_call_seconds_sum'
        )

    api, busy = make_api()
    busy.answer = True
    received_at = clock.ManualClock().read_monotonic() - 2
    before = read_sum()
    results = []
    api.execute_operation(make_call('cancel-job'), results.append, received_at)
    case.assertEqual(results[0].status, 'ok')
    case.assertAlmostEqual(read_sum() - before, 2.0)


def test_status_has_the_load_of_each_capacity_class(case):
    """The decider's reports reach the answer and survive its encoding."""
    api, busy = make_api()
    busy.log_length = 3
    api._env.shard, api._env.name = 0, 'side-1'
    api._env.keeper = types.SimpleNamespace(
        read=lambda: types.SimpleNamespace(revision=2)
    )
    capacity = operations.CapacityReport(
        'east', True, 2500, 90, True, 7, 3, ['queue-2 zone b', 'queue-2 large']
    )
    api._decider.make_capacity_reports = lambda: [capacity]
    (answer,) = execute(api, make_call('status'))
    report = codec.unpack(operations.ShardReport, answer.body)
    case.assertEqual(report.capacity, [capacity])


def test_refused_job_is_explained(case):
    """A refused job is in no log; its id is unknown without the decider."""
    api, _ = make_api()
    (answer,) = execute(api, make_call('explain'))
    case.assertEqual(answer.problems[0].code, 'unknown-id')
    decision = events.Decision(9, 'cannot-end-in-time', detail='60 s ahead')
    api._decider.explain_refusal = lambda job_id: decision
    (answer,) = execute(api, make_call('explain'))
    found = codec.unpack(operations.Explanation, answer.body)
    case.assertEqual((found.state, found.decisions), ('refused', [decision]))
