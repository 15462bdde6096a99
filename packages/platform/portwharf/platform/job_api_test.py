# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tests of the HTTP interface for job clients."""

import io
import json

import result

from portwharf.core import clock
from portwharf.core import data
from portwharf.core import web
from portwharf.entry import graceful_shutdown
from portwharf.entry import owner_client
from portwharf.platform import decoding
from portwharf.platform import job_api
from portwharf.scheduler import configuration
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs
from portwharf.scheduler import operations
from portwharf.testing import fixtures

ID = '5c0e7a21d94b36f8'
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'short',
            'host': 'desk.example',
            'pathPrefix': '/a/',
            'service': 'pool-1',
            'priority': 2,
            'maxAttempts': 4,
            'stretch': 2.0,
            'targetLatencyMs': 1000,
            'advice': {'decide_ms': 20, 'each_ms': 2, 'valid_ms': 900},
        },
        {
            'name': 'long',
            'host': 'desk.example',
            'pathPrefix': '/a/b/',
            'service': 'pool-2',
        },
    ],
}
BODY = {
    'spec': 'text',
    'steps': [
        {'count': 4, 'cpu': 500, 'memMb': 256, 'estimateMs': 900},
        {
            'count': 2,
            'cpu': 2000,
            'estimateMs': 700,
            'watchRev': [0],
            'checkpoints': True,
            'fills': True,
            'image': 'plan',
            'antiAffinity': 1,
        },
    ],
}


class FakeCalls:
    """Owners that give the answers that a test has set."""

    def __init__(self):
        self.calls = []
        self.seconds = []
        self.answers = {}

    def call(self, shard, method, arguments, cls, seconds, *_):
        """Record a call and return its answer."""
        self.calls.append((method, arguments))
        self.seconds.append(seconds)
        return self.answers[method]


def open_calls(stopping=False):
    """Return a client of the application, owners, clock and configuration."""
    keeper = configuration.ConfigKeeper(decoding.parse_config)
    calls = FakeCalls()
    now = clock.ManualClock()
    stop = graceful_shutdown.GracefulShutdown(now, 2.5, 4.5)
    if stopping:
        stop.request_stop()
    app = job_api.JobApi(calls, keeper, now, stop, 'zone-1')
    keeper.update(5, json.dumps(CONFIG))
    return fixtures.WsgiPool(app), calls, now, keeper


def send(pool, method, path, body=None):
    """Send a client's request."""
    raw = json.dumps(body) if body is not None else ''
    return pool.request(method, path, raw, {'Host': 'desk.example:80'})


def submit_with_length(pool, length):
    """Submit a job with a Content-Length; returns the error response."""
    environ = {
        'REQUEST_METHOD': 'POST',
        'HTTP_HOST': 'desk.example',
        'PATH_INFO': f'/a/{ID}',
        'CONTENT_LENGTH': length,
        'wsgi.input': io.BytesIO(json.dumps(BODY).encode()),
    }
    statuses = []
    body = pool.app(environ, lambda status, _: statuses.append(status))
    return statuses[0], json.loads(b''.join(body))['error']


def fail(code):
    """Return the result of a failed call."""
    return result.Err([data.Problem(code)])


def test_submitted_job_is_decoded_for_its_owner(case):
    pool, calls, _, _ = open_calls()
    accepted = result.Ok(operations.Accepted(ID, True))
    calls.answers['submit-job'] = accepted
    case.assertEqual(send(pool, 'POST', f'/a/{ID}', BODY).status, 200)
    job = calls.calls[0][1].job
    case.assertEqual((job.id, job.queue, job.rank), (ID, 'short', 2))
    case.assertEqual(job.objective_ms, 2 * 1600 + 1000)
    second = job.steps[1]
    case.assertEqual((second.after, second.pool), (['0'], 'pool-1'))
    case.assertEqual((second.max_failures, second.most_per_vm), (4, 1))
    case.assertEqual(second.ticket_ms, 900)
    case.assertTrue(second.checkpointable and second.fills)


def test_longest_prefix_wins(case):
    pool, calls, _, _ = open_calls()
    calls.answers['submit-job'] = result.Ok(operations.Accepted(ID, True))
    send(pool, 'POST', f'/a/b/{ID}', BODY)
    case.assertEqual(calls.calls[0][1].job.queue, 'long')


def test_refusals_say_what_is_true(case):
    statuses = {
        owner_client.NO_OWNER: 503,
        owner_client.NOT_ACCEPTED: 503,
        owner_client.NO_ANSWER: 504,
        owner_client.OUTCOME_UNKNOWN: 504,
        owner_client.UNKNOWN_ID: 410,
        jobs.CODE_BAD_JOB: 400,
        operations.CODE_BAD_ARGUMENTS: 400,
    }
    for code, status in statuses.items():
        pool, calls, _, _ = open_calls()
        calls.answers['cancel-job'] = fail(code)
        answer = send(pool, 'DELETE', f'/a/{ID}')
        case.assertEqual(answer.status, status)
        has_retry_after = 'Retry-After' in answer.headers
        case.assertEqual(has_retry_after, status in (503, 504))


def test_refusal_for_lack_of_room_says_when_to_retry(case):
    pool, calls, _, _ = open_calls()
    for retry_ms, seconds in ((0, None), (2000, '2'), (2001, '3')):
        problem = data.Problem(owner_client.NO_ROOM, retry_after_ms=retry_ms)
        calls.answers['submit-job'] = result.Err([problem])
        answer = send(pool, 'POST', f'/a/{ID}', BODY)
        case.assertEqual(answer.status, 429)
        case.assertEqual(answer.headers.get('Retry-After'), seconds)


def test_client_cannot_set_who_asked_and_when(case):
    """Otherwise it could take other callers' shares or an older turn."""
    pool, calls, _, _ = open_calls()
    calls.answers['submit-job'] = result.Ok(operations.Accepted(ID, True))
    pool.environ['REMOTE_ADDR'] = '10.0.0.9'
    names = ('caller', 'zone', 'asked_ms', 'askedMs')
    send(pool, 'POST', f'/a/{ID}', {**BODY, **dict.fromkeys(names, 7)})
    job = calls.calls[0][1].job
    found = (job.caller, job.zone, job.asked_ms)
    case.assertEqual(found, ('10.0.0.9', 'zone-1', 0))


def test_reason_is_logged_unless_a_call_succeeds(case):
    pool, calls, _, _ = open_calls()
    accepted = result.Ok(operations.Accepted(ID, True))
    outcomes = (
        (accepted, 200, None),
        (fail(owner_client.NO_OWNER), 503, 'no-owner'),
        (fail(owner_client.NO_ANSWER), 504, 'no-answer'),
        (fail('failed-otherwise'), 502, 'failed-otherwise'),
        (result.Err([]), 504, 'outcome-unknown'),
    )
    for outcome, status, reason in outcomes:
        calls.answers['submit-job'] = calls.answers['cancel-job'] = outcome
        with case.assertLogs('portwharf.platform.job_api') as watched:
            send(pool, 'POST', f'/a/{ID}', BODY)
            send(pool, 'DELETE', f'/a/{ID}')
        logged = [
            (one.getMessage(), one.status, one.reason)
            for one in watched.records
        ]
        case.assertEqual(
            logged,
            [
                ('submit answered', status, reason),
                ('cancel answered', status, reason),
            ],
        )


def test_state_is_returned_and_an_unknown_job_is_gone(case):
    pool, calls, _, _ = open_calls()
    view = job_operations.JobView(ID, 'running')
    calls.answers['read-job'] = result.Ok(view)
    answer = send(pool, 'GET', f'/a/{ID}')
    case.assertEqual(json.loads(answer.data), {'state': 'running'})
    calls.answers['read-job'] = result.Ok(job_operations.JobView(ID, ''))
    case.assertEqual(send(pool, 'GET', f'/a/{ID}').status, 410)


def test_count_of_pending_jobs_is_cached(case):
    pool, calls, now, _ = open_calls()
    calls.answers['count-pending'] = result.Ok(job_operations.Pending(3))
    for _ in range(3):
        answer = send(pool, 'GET', '/a/')
        case.assertEqual(json.loads(answer.data), {'pending': 3})
    case.assertEqual(len(calls.calls), 1)
    now.advance(1)
    send(pool, 'GET', '/a/')
    case.assertEqual(len(calls.calls), 2)


def test_call_times_out_while_its_client_can_retry(case):
    pool, calls, _, _ = open_calls()
    calls.answers['read-job'] = fail(owner_client.OUTCOME_UNKNOWN)
    for deadline in ('', '1000', 'soon', '60000', '\xb2', '9' * 5000):
        headers = {'Host': 'desk.example'}
        if deadline:
            headers['Portwharf-Deadline-Ms'] = deadline
        pool.request('GET', f'/a/{ID}', '', headers)
    waits = [round(seconds, 2) for seconds in calls.seconds]
    case.assertEqual(waits, [1.35, 0.45, 1.35, 2.0, 1.35, 1.35])


def test_wait_for_a_thread_counts_as_part_of_a_call(case):
    pool, calls, _, _ = open_calls()
    calls.answers['read-job'] = fail(owner_client.OUTCOME_UNKNOWN)
    pool.environ[web.QUEUED_SECONDS] = 1.0
    case.assertEqual(send(pool, 'GET', f'/a/{ID}').status, 504)
    case.assertEqual([round(one, 2) for one in calls.seconds], [0.35])


def test_call_whose_client_has_given_up_is_not_carried_out(case):
    pool, calls, _, _ = open_calls()
    pool.environ[web.QUEUED_SECONDS] = 1.35
    for method, body in (('POST', BODY), ('GET', None)):
        answer = send(pool, method, f'/a/{ID}', body)
        case.assertEqual(answer.status, 503)
    case.assertEqual(calls.calls, [])


def test_late_call_is_logged(case):
    pool, _, _, _ = open_calls()
    pool.environ[web.QUEUED_SECONDS] = 1.5
    with case.assertLogs('portwharf.platform.job_api') as watched:
        send(pool, 'POST', f'/a/{ID}', BODY)
    (line,) = watched.records
    case.assertEqual(line.getMessage(), 'late call refused')
    logged = (line.request, line.reason, line.took_ms)
    case.assertEqual(logged, (ID, 'POST', 1500))


def test_cancellation_without_a_queue_is_logged(case):
    pool, _, _, _ = open_calls()
    with case.assertLogs('portwharf.platform.job_api') as watched:
        case.assertEqual(send(pool, 'DELETE', f'/x/{ID}').status, 404)
    (line,) = watched.records
    case.assertEqual(line.getMessage(), 'cancel answered')
    logged = (line.request, line.status, line.reason)
    case.assertEqual(logged, (ID, 404, 'no-queue'))


def test_late_cancellation_is_carried_out(case):
    pool, calls, _, _ = open_calls()
    calls.answers['cancel-job'] = result.Ok(operations.Cancelled())
    for queued_seconds in (1.35, 60.0):
        pool.environ[web.QUEUED_SECONDS] = queued_seconds
        answer = send(pool, 'DELETE', f'/a/{ID}')
        case.assertEqual(answer.status, 200)
    cancels = [(method, query.id) for method, query in calls.calls]
    case.assertEqual(cancels, [('cancel-job', ID)] * 2)
    case.assertEqual(calls.seconds, [job_api.MIN_CANCEL_SECONDS] * 2)


def test_late_cancellation_of_a_stopping_entry_is_answered_in_time(case):
    pool, calls, now, _ = open_calls(stopping=True)
    calls.answers['cancel-job'] = result.Ok(operations.Cancelled())
    pool.environ[web.QUEUED_SECONDS] = 1.35
    now.advance(4.4)
    case.assertEqual(send(pool, 'DELETE', f'/a/{ID}').status, 200)
    case.assertAlmostEqual(calls.seconds[0], 0.1)


def test_late_call_with_a_malformed_length_is_refused(case):
    pool, _, _, _ = open_calls()
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': f'/a/{ID}',
        'CONTENT_LENGTH': 'x',
        'wsgi.input': io.BytesIO(),
        web.QUEUED_SECONDS: 1.35,
    }
    statuses = []
    pool.app(environ, lambda status, _: statuses.append(status[:3]))
    case.assertEqual(statuses, ['400'])


def test_unknown_route_and_bad_id_are_not_found(case):
    pool, _, _, _ = open_calls()
    case.assertEqual(send(pool, 'POST', f'/x/{ID}', BODY).status, 404)
    case.assertEqual(send(pool, 'POST', '/a/short', BODY).status, 404)


def test_removed_route_is_not_found(case):
    pool, _, _, keeper = open_calls()
    keeper.update(6, json.dumps({**CONFIG, 'routes': []}))
    case.assertEqual(send(pool, 'GET', f'/a/{ID}').status, 404)
    keeper.update(5, json.dumps(CONFIG))
    case.assertEqual(send(pool, 'GET', f'/a/{ID}').status, 404)


def test_entry_without_a_configuration_asks_to_retry(case):
    keeper = configuration.ConfigKeeper(decoding.parse_config)
    stop = graceful_shutdown.GracefulShutdown(clock.ManualClock(), 2.5, 4.5)
    app = job_api.JobApi(None, keeper, None, stop)
    answer = send(fixtures.WsgiPool(app), 'GET', f'/a/{ID}')
    case.assertEqual(answer.status, 503)
    case.assertIn('Retry-After', answer.headers)


def test_malformed_jobs_are_refused_with_a_reason(case):
    pool, _, _, _ = open_calls()
    bad = [
        [],
        {'steps': 3},
        {'steps': [{'cpu': 3}]},
        {'steps': [{'count': 0}]},
        {'steps': [{'count': 1, 'watchRev': [0]}]},
        {'steps': [], 'spec': 'x'},
        {'steps': [{'count': 1}], 'spec': 'x' * 4001},
    ]
    for body in bad:
        answer = send(pool, 'POST', f'/a/{ID}', body)
        case.assertEqual(answer.status, 400, body)
        case.assertIn('mend', json.loads(answer.data)['error'])


def test_length_that_is_no_number_is_refused(case):
    pool, calls, _, _ = open_calls()
    for length in ('long', '-1', '1_0', '\xb2'):
        status, error = submit_with_length(pool, length)
        case.assertEqual(status, '400 Bad Request', length)
        case.assertIn('Content-Length', error)
    case.assertEqual(calls.calls, [])


def test_stopping_entry_closes_its_connections(case):
    pool, calls, _, _ = open_calls(stopping=True)
    calls.answers['read-job'] = result.Ok(job_operations.JobView(ID, 'queued'))
    answer = send(pool, 'GET', f'/a/{ID}')
    case.assertEqual(answer.headers['Connection'], 'close')


def test_late_call_is_answered_before_the_entry_exits(case):
    pool, calls, now, _ = open_calls(stopping=True)
    calls.answers['read-job'] = fail(owner_client.OUTCOME_UNKNOWN)
    now.advance(4.0)
    answer = send(pool, 'GET', f'/a/{ID}')
    case.assertEqual((answer.status, calls.seconds), (504, [0.5]))


def test_malformed_configuration_is_ignored(case):
    pool, calls, _, keeper = open_calls()
    case.assertFalse(keeper.update(9, '{"routes": [{}]}'))
    case.assertEqual(keeper.read().revision, 5)
