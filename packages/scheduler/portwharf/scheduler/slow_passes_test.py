# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Calls of operators to an owner whose decisions take long."""

from unittest import mock

from portwharf.core import data
from portwharf.scheduler import batches
from portwharf.scheduler import decider
from portwharf.scheduler import operations
from portwharf.scheduler import owner
from portwharf.scheduler import shardlog
from portwharf.side import server_test
from portwharf.testing import cluster
from portwharf.testing import cluster_checks
from portwharf.testing import walk

PLACING_SECONDS = 2 * owner.SLOW_DECISIONS_SECONDS
SMALL = data.Resources(100, 100)
LOGGER = 'portwharf.scheduler.pass_timing'
SLOW_CALL_SECONDS = 0.28
# The platform's store deletes 32 keys a call: the entries before a snapshot
# take a reading and ten calls, the former snapshot takes two in all.
CALLS_PER_DELETION = 6.5


class SlowPlacing:
    """Makes placing take long on all owners, and watches the answers.

    :ivar answered: for each placing, the values of the calls made so far
    :ivar before: called before each placing
    :ivar seconds: how long placing takes
    """

    def __init__(self, made, seconds=PLACING_SECONDS):
        self._made = made
        self.seconds = seconds
        self._place = decider.Decider._place_tasks
        self.answered = []
        self.before = lambda: None

    def place(self, one, batch):
        """Place tasks as the decider does, then let the time pass."""
        self.answered.append([call.fut.value for call in self._made.calls])
        self.before()
        self._place(one, batch)
        self._made.time.advance(self.seconds)


def make_slow_owner(case, seconds=PLACING_SECONDS):
    """Return a cluster, its owner after a slow pass, and its placing."""
    made = cluster.Cluster()
    made.run(2)
    slow = SlowPlacing(made, seconds)
    case.enterContext(
        mock.patch.object(
            decider.Decider,
            '_place_tasks',
            lambda one, batch: slow.place(one, batch),
        )
    )
    leader = made.nodes[0].owner
    case.assertIs(leader.step(), batches.StepResult.DONE)
    slow.answered.clear()
    return made, leader, slow


def submit(made, count=1):
    """Submit a job of small tasks; returns the call's future."""
    return made.submit(count, resources=SMALL)


def run_step(made):
    """Let the owner decide on all that is queued."""
    leader = made.nodes[0].owner
    return leader.step(leader.take_items())


def deliver(made):
    """Deliver all messages, without a step of the owner."""
    for _ in range(4):
        made.time.advance(0.1)
        made.deliver_all()
        for node in made.nodes:
            node.server.agent.step()
    made.deliver_all()


def count_placed(made):
    """Return how many tasks are placed, by the log."""
    return sum(len(held) for held in made.read_state().held.values())


def test_call_is_answered_before_slow_placing(case):
    made, _, slow = make_slow_owner(case)
    fut = submit(made)
    case.assertIs(run_step(made), batches.StepResult.DONE)
    case.assertEqual(slow.answered, [[fut.value]])
    case.assertIsInstance(fut.value, operations.Accepted)
    case.assertEqual(count_placed(made), 1)


def test_call_is_in_the_log_when_it_is_answered(case):
    made, leader, _ = make_slow_owner(case)
    fut = submit(made)
    (call,) = leader.take_items()
    logged = []
    call.fut.set_result = lambda accepted: logged.append(
        accepted.id in made.read_state().workloads
    )
    leader.step([call])
    case.assertIsNone(fut.value)
    case.assertEqual(logged, [True])


def test_placing_follows_each_intake_of_calls(case):
    made, _, slow = make_slow_owner(case)
    for number in range(1, 9):
        submit(made)
        run_step(made)
        case.assertEqual(count_placed(made), number)
        case.assertEqual(len(slow.answered), number)


def test_quick_pass_appends_once(case):
    made = cluster.Cluster()
    made.run(2)
    before = made.nodes[0].owner.log_length
    submit(made)
    run_step(made)
    case.assertEqual(made.nodes[0].owner.log_length, before + 1)
    case.assertEqual(count_placed(made), 1)


def test_calls_are_answered_after_placing_again_once_it_is_quick(case):
    made, leader, _ = make_slow_owner(case, 0.0)
    submit(made)
    before = leader.log_length
    run_step(made)
    case.assertEqual(leader.log_length, before + 1)


def test_slow_pass_without_calls_appends_once(case):
    made, leader, _ = make_slow_owner(case)
    # One task more than there is room for.
    made.submit(7)
    run_step(made)
    deliver(made)
    made.finish_running()
    deliver(made)
    items = leader.take_items()
    before = leader.log_length
    case.assertIn(batches.ReportsItem, {type(item) for item in items})
    leader.step(items)
    case.assertEqual(leader.log_length, before + 1)
    case.assertEqual(count_placed(made), 1)


def test_slow_store_alone_does_not_split_a_pass(case):
    made = cluster.Cluster()
    made.run(2)
    leader = made.nodes[0].owner
    append = shardlog.ShardLog.append

    def append_slowly(log, events):
        made.time.advance(PLACING_SECONDS)
        return append(log, events)

    case.enterContext(
        mock.patch.object(shardlog.ShardLog, 'append', append_slowly)
    )
    for _ in range(3):
        before = leader.log_length
        submit(made)
        run_step(made)
        case.assertEqual(leader.log_length, before + 1)


def test_entries_keep_their_interval(case):
    made, leader, slow = make_slow_owner(case)
    leader._env.append_interval = 2 * PLACING_SECONDS
    fut = submit(made)
    run_step(made)
    case.assertEqual(slow.answered, [[None]])
    case.assertIsInstance(fut.value, operations.Accepted)


def test_placing_follows_an_intake_whose_append_stalls(case):
    made, leader, slow = make_slow_owner(case)
    fut = submit(made)
    made.fake.faults.down = True
    case.assertIs(run_step(made), batches.StepResult.STALLED)
    case.assertTrue(leader.stalled)
    refused = submit(made)
    leader.serve_stalled()
    case.assertEqual(refused.value.code, 'not-accepted')
    case.assertIsNone(fut.value)
    made.fake.faults.down = False
    case.assertIs(leader.step(), batches.StepResult.DONE)
    case.assertIsInstance(fut.value, operations.Accepted)
    case.assertEqual(slow.answered, [])
    with mock.patch.object(leader, '_inbox', spec_set=leader._inbox) as inbox:
        inbox.qsize.return_value = 0
        case.assertEqual(leader._wait_for_input(), [])
        inbox.get.assert_not_called()
    # Calls that have come by now cannot put it off again.
    submit(made)
    made.fake.faults.down = True
    case.assertIs(run_step(made), batches.StepResult.STALLED)
    case.assertEqual(len(slow.answered), 1)
    made.fake.faults.down = False
    case.assertIs(leader.step(), batches.StepResult.DONE)
    case.assertEqual(count_placed(made), 2)


def test_reports_that_came_during_a_stall_precede_decisions(case):
    made, leader, slow = make_slow_owner(case)
    submit(made)
    run_step(made)
    deliver(made)
    submit(made)
    made.fake.faults.down = True
    case.assertIs(run_step(made), batches.StepResult.STALLED)
    made.finish_running()
    deliver(made)
    leader.serve_stalled()
    made.fake.faults.down = False
    case.assertIs(leader.step(), batches.StepResult.DONE)
    case.assertEqual(count_placed(made), 1)
    slow.answered.clear()
    with mock.patch.object(
        decider.Decider,
        '_requeue_lost_tasks',
        lambda one, batch: case.assertEqual(
            sum(len(held) for held in one._state.held.values()), 0
        ),
    ):
        case.assertIs(leader.step(), batches.StepResult.DONE)
    case.assertEqual(len(slow.answered), 1)
    case.assertEqual(count_placed(made), 1)


def test_call_behind_much_input_is_answered_after_one_pass(case):
    made = cluster.Cluster()
    made.run(2)
    leader = made.nodes[0].owner
    for _ in range(1000):
        leader.take_measures(made.nodes[1].vm.name, [])
    fut = submit(made)
    run_step(made)
    case.assertIsInstance(fut.value, operations.Accepted)


def test_owner_frozen_while_it_logs_calls_takes_no_vm_for_lost(case):
    made, leader, slow = make_slow_owner(case)
    made.submit(6, overlap_allowed=True)
    run_step(made)
    deliver(made)
    held = count_placed(made)
    case.assertEqual(held, 6)
    append = leader._log.append

    def append_and_freeze(chunk):
        logged = append(chunk)
        made.time.advance(cluster.LIMITS.unreachable + 0.5)
        return logged

    fut = submit(made)
    with mock.patch.object(leader._log, 'append', append_and_freeze):
        case.assertIs(run_step(made), batches.StepResult.DONE)
    case.assertIsInstance(fut.value, operations.Accepted)
    # Delivers what the sides sent meanwhile.
    deliver(made)
    slow.answered.clear()
    case.assertIs(run_step(made), batches.StepResult.DONE)
    case.assertEqual(len(slow.answered), 1)
    state = made.read_state()
    attempts = {
        task.attempt
        for tasks in state.held.values()
        for task in tasks.values()
    }
    case.assertEqual((count_placed(made), attempts), (held, {1}))


def test_deposed_owner_answers_and_places_nothing(case):
    made, leader, slow = make_slow_owner(case)
    made.nodes[1].claim()
    call = batches.OperatorCall(
        mock.Mock(), 'cancel', operations.Query('0-none')
    )
    fut = submit(made)
    (accepted,) = made.nodes[1].owner.take_items()
    case.assertIs(leader.step([accepted, call]), batches.StepResult.DEPOSED)
    case.assertTrue(leader.deposed.is_set())
    case.assertIsNone(fut.value)
    call.fut.set_result.assert_not_called()
    case.assertEqual(slow.answered, [])


def test_calls_of_several_entries_are_answered_after_the_last(case):
    made, leader, slow = make_slow_owner(case)
    futures = [submit(made) for _ in range(3)]
    before = leader.log_length
    with mock.patch.object(shardlog, 'count_fitting_events', lambda events: 1):
        append = leader._log.append

        def append_until_down(chunk):
            made.fake.faults.down = leader.log_length == before + 2
            return append(chunk)

        with mock.patch.object(leader._log, 'append', append_until_down):
            case.assertIs(run_step(made), batches.StepResult.STALLED)
        case.assertEqual([fut.value for fut in futures], [None] * 3)
        made.fake.faults.down = False
        case.assertIs(leader.step(), batches.StepResult.DONE)
    case.assertEqual(leader.log_length, before + 3)
    accepted = {fut.value.id for fut in futures}
    case.assertEqual(set(made.read_state().workloads), accepted)
    case.assertEqual(slow.answered, [])
    run_step(made)
    case.assertEqual(count_placed(made), 3)


def test_split_pass_is_timed_as_one(case):
    made, leader, _ = make_slow_owner(case, 1.0)
    submit(made)
    with case.assertLogs(LOGGER) as watched:
        run_step(made)
    (logged,) = watched.records
    case.assertEqual((logged.took_ms, logged.items), (1000, 1))
    # The acceptance, the placement and its explanation.
    case.assertEqual(logged.events, 3)
    case.assertEqual(sum(logged.parts_ms.values()), 1000)


def test_owner_refuses_what_a_pass_would_outlast_until_near_its_end(case):
    made, leader, slow = make_slow_owner(case, 2.5)
    statuses = []

    def send(number):
        leader.execute_operation(
            server_test.make_submission(number, 1350),
            lambda answer: statuses.append(answer.status),
        )

    def send_during_the_pass():
        send(1)
        for _ in range(4):
            deliver(made)
        send(2)
        slow.seconds = 0.9

    submit(made)
    slow.before = send_during_the_pass
    run_step(made)
    case.assertEqual(statuses, ['refused'])
    slow.before = lambda: None
    case.assertEqual(leader.estimate_wait_seconds(), 0)
    send(3)
    case.assertEqual(run_step(made), batches.StepResult.DONE)
    case.assertEqual(statuses, ['refused', 'ok', 'ok'])


def test_stalled_append_does_not_make_an_owner_refuse_later_calls(case):
    made, leader, _ = make_slow_owner(case, 0.0)
    submit(made)
    made.fake.faults.down = True
    case.assertIs(run_step(made), batches.StepResult.STALLED)
    made.time.advance(2)
    made.fake.faults.down = False
    case.assertIs(leader.step(), batches.StepResult.DONE)
    leader._timer.start()
    case.assertEqual(leader.estimate_wait_seconds(), 0)


def test_walks_with_input_logged_before_decisions(case):
    """Checks the invariants when each pass with input is split."""

    def must_answer_first(one, items):
        return bool(items) and not one._rest_due

    with mock.patch.object(
        owner.Owner, '_must_answer_first', must_answer_first
    ):
        for seed in (1, 2, 3):
            with case.subTest(seed=seed):
                walk.Walk(seed, more=True, births=True, jobs=True).run()


def test_cancellation_does_not_wait_for_a_snapshot(case):
    """It comes as the snapshot begins, and the store is slow."""
    made = cluster.Cluster()
    made.run(2)
    accepted = submit(made)
    run_step(made)
    pool = made.nodes[0].pool
    request, write = pool.request, shardlog.ShardLog.write_snapshot
    cancelled, answered = [], []

    def request_slowly(method, path, *args, **options):
        calls = CALLS_PER_DELETION if path.endswith('deleterange') else 1
        made.time.advance(calls * SLOW_CALL_SECONDS)
        return request(method, path, *args, **options)

    def cancel_and_write(log, *args):
        if not cancelled:
            cancelled.append(made.time.read_monotonic())
            made.cancel(accepted.value.id).set_result = lambda _: (
                answered.append(made.time.read_monotonic())
            )
        return write(log, *args)

    pool.request = request_slowly
    with (
        mock.patch.object(owner, 'SNAPSHOT_ENTRIES', 1),
        mock.patch.object(
            shardlog.ShardLog, 'write_snapshot', cancel_and_write
        ),
    ):
        submit(made)
        while not answered:
            run_step(made)
    waited_seconds = answered[0] - cancelled[0]
    case.assertLess(waited_seconds, cluster_checks.CANCEL_SECONDS)
