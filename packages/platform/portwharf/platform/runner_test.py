# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The runner's client fulfils the contract of ``workers.Worker``."""

import io
import threading
import time
from unittest import mock

from portwharf.core import data
from portwharf.core import settings
from portwharf.platform import runner
from portwharf.platform import runner_connection
from portwharf.testing import platform_runner
from portwharf import workers

TASK = '5c0e7a21d94b36f8.0.0.1'
SIZE = data.Resources(8000, 1000)
LIFE = data.IncarnationId('i-1', platform_runner.FIRST_BORN_MS)


def open_runner(case, token=7):
    """Return a client of a fake runner, and the fake."""
    fake, place = platform_runner.serve_runner(case)
    client = platform_runner.open_client(place, lambda: token)
    client.record_heartbeat(make_life())
    client.read_listing()
    return client, fake


def make_life(instance='i-1', **fields):
    """Return the ``workers.Incarnation`` that a heartbeat describes."""
    born_ms = platform_runner.FIRST_BORN_MS + int(instance[2:]) - 1
    life = data.IncarnationId(instance, born_ms)
    return workers.Incarnation(life, 'pool', 'zone', SIZE, ['a'], **fields)


def start(client, attempt=1, task=TASK):
    """Start an attempt with a lease of some seconds."""
    until = int(time.monotonic() * 1000) + 5000
    order = workers.Start(task, attempt, argument=b'spec', resources=SIZE)
    order.lease_until_ms = until
    answer = client.read_listing()
    order.life = answer.map(lambda listing: listing.life).unwrap_or(LIFE)
    return client.start(order)


def list_states(client):
    """Return the state of each listed attempt."""
    listing = client.read_listing().ok_value
    return [str(attempt.state) for attempt in listing.attempts]


def test_listing_combines_heartbeat_and_runner_lists(case):
    client, _ = open_runner(case)
    case.assertEqual(start(client).ok_value, '')
    listing = client.read_listing().ok_value
    case.assertEqual((listing.capacity, listing.pool), (SIZE, 'pool'))
    (attempt,) = listing.attempts
    case.assertEqual((attempt.task, attempt.percent), (TASK, 5))
    case.assertEqual((attempt.tail_ms, attempt.resources), (7, SIZE))


def test_nothing_is_ordered_without_a_token(case):
    client, fake = open_runner(case, token=0)
    case.assertEqual(start(client).ok_value, workers.REFUSED_NO_HEARTBEAT)
    case.assertTrue(client.stop(TASK, 1, True).is_err())
    case.assertTrue(client.renew(5000).is_err())
    case.assertEqual(fake.orders, [])


def test_start_with_a_server_error_may_run(case):
    client, fake = open_runner(case)
    fake.lose_answers = 1
    case.assertTrue(start(client).is_err())
    case.assertIn(TASK, fake.running)


def test_refused_ticket_says_nothing_against_the_worker(case):
    client, fake = open_runner(case)
    fake.ticket = 'right'
    until = int(time.monotonic() * 1000) + 5000
    order = workers.Start(TASK, 1, argument=b'spec', lease_until_ms=until)
    order.life = LIFE
    order.ticket = 'wrong'
    refused = client.start(order).ok_value
    case.assertIn(refused, workers.EXPECTED_REFUSALS)
    order.ticket = 'right'
    case.assertEqual(client.start(order).ok_value, '')


def test_start_twice_is_one_run_and_an_ended_one_is_old(case):
    client, fake = open_runner(case)
    start(client)
    case.assertEqual(start(client).ok_value, '')
    fake.end_run(TASK)
    case.assertEqual(start(client).ok_value, workers.REFUSED_ATTEMPT_OVER)


def test_stopped_attempt_cannot_be_started_later(case):
    client, _ = open_runner(case)
    case.assertTrue(client.stop(TASK, 1, True).is_ok())
    case.assertEqual(start(client).ok_value, workers.REFUSED_ATTEMPT_OVER)
    case.assertEqual(start(client, 2).ok_value, '')


def test_former_side_is_refused(case):
    client, fake = open_runner(case)
    fake.fence = 8 * runner_connection.TOKENS_PER_REVISION
    case.assertEqual(start(client).ok_value, workers.REFUSED_FENCE)


def test_ends_stay_until_they_are_logged_in_order(case):
    client, fake = open_runner(case)
    for number in (1, 2):
        start(client, task=f'j.0.0.{number}')
        fake.end_run(f'j.0.0.{number}')
    case.assertEqual(list_states(client), ['succeeded', 'succeeded'])
    client.forget('j.0.0.2', 1)
    case.assertEqual(len(list_states(client)), 2)
    client.forget('j.0.0.1', 1)
    case.assertEqual(list_states(client), [])
    case.assertEqual(fake.orders[-1][1]['ackedUpto'], 2)


def test_new_incarnation_is_never_told_of_the_old_ones_numbers(case):
    client, fake = open_runner(case)
    start(client)
    fake.end_run(TASK)
    client.read_listing()
    client.forget(TASK, 1)
    fake.restart('i-2')
    case.assertTrue(client.read_listing().is_err())
    client.record_heartbeat(make_life('i-2'))
    client.read_listing()
    start(client, 2)
    fake.end_run(TASK)
    case.assertEqual(list_states(client), ['succeeded'])
    acked = [o['ackedUpto'] for v, o in fake.orders if v == 'hold']
    case.assertEqual(acked[-1], 0)


def test_end_states_are_translated(case):
    client, fake = open_runner(case)
    ends = {
        'done': 'succeeded',
        'failed': 'failed',
        'stopped': 'checkpointed',
        'lapsed': 'gone',
        'broken': 'gone',
        'alone': 'gone',
    }
    for how, state in ends.items():
        start(client, task=f'{how}.0.0.0')
        fake.end_run(f'{how}.0.0.0', how, 'kept')
        found = client.read_listing().ok_value.attempts[-1]
        case.assertEqual((found.state, found.checkpoint), (state, 'kept'))


def test_unreachable_runner_has_an_absent_listing(case):
    client = runner.RunnerWorker(
        settings.Endpoint('127.0.0.1', 1), lambda: 7, 6000
    )
    case.assertTrue(client.read_listing().ok_value.absent)


def test_end_is_notified_at_once(case):
    client, fake = open_runner(case)
    notified = threading.Event()
    client.on_attempt_end(notified.set)
    case.enterContext(client)
    start(client)
    fake.end_run(TASK)
    case.assertTrue(notified.wait(10))


def test_draining_is_notified_at_once(case):
    client, _ = open_runner(case)
    notified = threading.Event()
    client.on_attempt_end(notified.set)
    client.record_heartbeat(make_life(draining=True, leaves_in_ms=2500))
    case.assertTrue(notified.is_set())
    case.assertEqual(client.read_listing().ok_value.leaves_in_ms, 2500)


def test_attempt_of_a_former_side_is_listed_with_its_resources(case):
    client, fake = open_runner(case)
    fake.running[TASK] = 1
    client.restore_start(
        workers.Start(TASK, 1, workload='a/b', resources=SIZE)
    )
    (attempt,) = client.read_listing().ok_value.attempts
    case.assertEqual((attempt.workload, attempt.resources), ('a/b', SIZE))


def test_resources_of_a_running_attempt_are_never_dropped(case):
    client, _ = open_runner(case)
    start(client)
    client.read_listing()
    for number in range(runner.MAX_REMEMBERED_STARTS + 1):
        client.restore_start(workers.Start(f'x.{number}', 1))
    (attempt,) = client.read_listing().ok_value.attempts
    case.assertEqual(attempt.resources, SIZE)


def test_late_heartbeat_of_an_earlier_incarnation_changes_nothing(case):
    client, fake = open_runner(case)
    fake.restart('i-2')
    client.record_heartbeat(make_life('i-2'))
    client.read_listing()
    start(client)
    client.record_heartbeat(make_life('i-0'))
    listing = client.read_listing().ok_value
    case.assertEqual(listing.life.instance, 'i-2')
    case.assertEqual(len(listing.attempts), 1)
    case.assertTrue(client.stop(TASK, 1, True).is_ok())


def test_late_first_heartbeat_hides_no_attempt(case):
    _, place = platform_runner.serve_runner(case)
    former = platform_runner.open_client(place, lambda: 7)
    former.record_heartbeat(make_life())
    former.read_listing()
    start(former)
    client = platform_runner.open_client(place, lambda: 8)
    client.record_heartbeat(make_life('i-0'))
    listing = client.read_listing().ok_value
    case.assertEqual([a.task for a in listing.attempts], [TASK])
    client.record_heartbeat(make_life())
    case.assertEqual(client.read_listing().ok_value.life.instance, 'i-1')


def test_late_heartbeat_of_the_same_incarnation_does_not_undo_draining(case):
    client, _ = open_runner(case)
    client.record_heartbeat(make_life(draining=True, seq=5))
    client.record_heartbeat(make_life(seq=4))
    case.assertTrue(client.read_listing().ok_value.draining)


def test_new_incarnation_without_a_response_is_asked_again(case):
    client, fake = open_runner(case)
    start(client)
    fake.restart('i-2')
    fake.unhealthy = 1
    client.record_heartbeat(make_life('i-2'))
    case.assertTrue(client.read_listing().is_err())
    listing = client.read_listing().ok_value
    case.assertEqual(listing.life.instance, 'i-2')
    case.assertEqual(listing.attempts, [])


def test_heartbeat_of_a_new_incarnation_is_notified_at_once(case):
    client, _ = open_runner(case)
    notified = threading.Event()
    client.on_attempt_end(notified.set)
    client.record_heartbeat(make_life('i-2'))
    case.assertTrue(notified.is_set())


def test_ends_of_an_unidentified_incarnation_are_not_acknowledged(case):
    fake, place = platform_runner.serve_runner(case)
    former = platform_runner.open_client(place, lambda: 7)
    former.record_heartbeat(make_life())
    former.read_listing()
    start(former)
    fake.end_run(TASK)
    client = platform_runner.open_client(place, lambda: 8)
    client.read_listing()
    fake.restart('i-2')
    client.record_heartbeat(make_life('i-2'))
    client.read_listing()
    start(client, 2)
    fake.end_run(TASK)
    client.forget(TASK, 1)
    case.assertEqual(list_states(client), ['succeeded'])


def test_nothing_starts_on_a_draining_incarnation(case):
    client, fake = open_runner(case)
    client.record_heartbeat(make_life(draining=True))
    case.assertEqual(start(client).ok_value, workers.REFUSED_LEAVING)
    case.assertEqual(fake.running, {})


def test_nothing_starts_before_the_incarnation_is_identified(case):
    fake, place = platform_runner.serve_runner(case)
    client = platform_runner.open_client(place, lambda: 7)
    client.record_heartbeat(make_life('i-0'))
    client.read_listing()
    case.assertEqual(start(client).ok_value, workers.REFUSED_NO_HEARTBEAT)
    case.assertEqual(fake.running, {})


def test_starts_recalled_before_the_first_heartbeat_are_kept(case):
    """A restarted side may hear its owner before the runner."""
    fake, place = platform_runner.serve_runner(case)
    fake.running[TASK] = 1
    client = platform_runner.open_client(place, lambda: 7)
    client.restore_start(
        workers.Start(TASK, 1, workload='a/b', resources=SIZE)
    )
    client.record_heartbeat(make_life())
    (attempt,) = client.read_listing().ok_value.attempts
    case.assertEqual((attempt.workload, attempt.resources), ('a/b', SIZE))


def test_late_heartbeat_of_a_former_incarnation_keeps_resources(case):
    """A heartbeat may be delayed until after those of the next incarnation.

    It must not change the resources that running attempts hold, as the owner
    does not send them again on the same connection.
    """
    client, _ = open_runner(case)
    start(client)
    client.record_heartbeat(make_life('i-0'))
    client.record_heartbeat(make_life('i-1'))
    (attempt,) = client.read_listing().ok_value.attempts
    case.assertEqual(attempt.resources, SIZE)


def lose_start(client, fake):
    """Send a start that is neither answered nor carried out.

    :returns: the body of the order
    """
    start_run = fake._start
    fake._start = lambda body: (500, {})
    start(client)
    fake._start = start_run
    return fake.orders[-1][1]


def test_delayed_start_is_carried_out_unless_it_is_revoked(case):
    client, fake = open_runner(case)
    case.assertEqual(
        fake.carry_out('run-start', lose_start(client, fake)), 200
    )


def test_delayed_start_is_refused_after_its_revocation(case):
    """A higher fencing token has been answered since it was sent."""
    client, fake = open_runner(case)
    body = lose_start(client, fake)
    case.assertEqual(client.revoke_expired_starts().ok_value.attempts, [])
    case.assertEqual(fake.carry_out('run-start', body), 409)
    case.assertEqual(fake.running, {})


def test_unanswered_revocations_use_one_token(case):
    client, fake = open_runner(case)
    lose_start(client, fake)
    fake.unhealthy = 2
    for _ in range(2):
        case.assertTrue(client.revoke_expired_starts().is_err())
    before = fake.fence
    client.revoke_expired_starts()
    case.assertEqual(fake.fence, before + 1)


def test_no_start_is_revoked_without_a_higher_token(case):
    client, fake = open_runner(case)
    for _ in range(runner_connection.TOKENS_PER_REVISION):
        client._fence.advance()
    lose_start(client, fake)
    case.assertTrue(client.revoke_expired_starts().is_err())


def test_delayed_start_is_revoked_if_a_later_one_had_no_token(case):
    """The side's registration was lost for a while."""
    client, fake = open_runner(case)
    body = lose_start(client, fake)
    with mock.patch.object(client._fence, '_read_token', lambda: 0):
        start(client, task='j.0.0.2')
    client.revoke_expired_starts()
    case.assertEqual(fake.carry_out('run-start', body), 409)


def test_fake_runner_ignores_an_order_whose_body_was_cut(case):
    """It logged an error where a connection was cut during a request."""
    fake = platform_runner.FakePlatformRunner()
    statuses = []
    body = b'{"task": "j.0.0.1"'
    environ = {
        'PATH_INFO': '/portwharf/run-stop',
        'CONTENT_LENGTH': str(len(body) + 1),
        'wsgi.input': io.BytesIO(body),
    }
    fake(environ, lambda status, headers: statuses.append(status))
    case.assertTrue(statuses[0].startswith('400'))
    case.assertEqual(fake.orders, [])
