# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Owners, sides and workers together, under one kind of failure at a time.

The cluster steps the real code and checks the workers' records after every
step, so that a test only has to cause the failure.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import urllib3

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import shardlog
from portwharf.scheduler import shardlog_test
from portwharf.testing import cluster
from portwharf.testing import walk

# Longer than any wait of an owner.
LONG_WAIT_SECONDS = cluster.LIMITS.replace_after_majority + 10


def make_cluster(count=3, size=3, **fields):
    """Return a cluster with a job whose tasks run."""
    made = cluster.Cluster(size)
    made.submit(count, **fields)
    made.run(4)
    return made


def count_runs(made):
    """Return how many attempts the workers have begun."""
    return sum(len(node.worker.record) for node in made.nodes)


def list_running(node):
    """Return the tasks that run on a node."""
    return [run.attempt.task for run in node.worker.runs if run.running]


def finish(made):
    """Let the cluster settle, then check the final state."""
    made.settle()
    made.check_end()


def test_work_runs_once_and_ends(case):
    made = make_cluster()
    finish(made)
    case.assertEqual(count_runs(made), 3)


def test_killed_owner_is_replaced_and_work_goes_on(case):
    made = make_cluster()
    made.restart_side(made.nodes[0])
    made.nodes[1].claim()
    made.run(10)
    finish(made)
    case.assertEqual(count_runs(made), 3)
    case.assertEqual(made.read_state().epoch, 2)


def test_paused_owner_steps_down_when_it_wakes(case):
    made = make_cluster()
    made.nodes[0].paused = True
    made.run(5)
    made.nodes[1].claim()
    made.run(LONG_WAIT_SECONDS)
    made.nodes[0].paused = False
    made.run(5)
    case.assertEqual(made.list_owners(), [made.nodes[1]])
    finish(made)


def test_tasks_of_a_silent_vm_run_again_after_its_leases(case):
    made = make_cluster()
    cut_off = made.nodes[2]
    (task,) = list_running(cut_off)
    made.isolate(cut_off)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(list_running(cut_off), [])
    others = list_running(made.nodes[0]) + list_running(made.nodes[1])
    case.assertIn(task, others)
    finish(made)


def test_silent_vm_is_not_given_up_too_soon(case):
    made = make_cluster()
    made.isolate(made.nodes[2])
    made.run(cluster.LIMITS.guard - 2)
    made.heal()
    made.run(5)
    case.assertEqual(count_runs(made), 3)


def test_replicas_of_a_silent_vm_are_replaced_at_once(case):
    made = make_cluster(2, kind=data.Kind.SERVICE)
    cut_off = next(node for node in made.nodes[1:] if list_running(node))
    made.isolate(cut_off)
    made.run(cluster.LIMITS.unreachable + 2)
    case.assertEqual(count_runs(made), 3)


def test_owner_cut_off_from_all_stops_its_own_tasks(case):
    made = make_cluster()
    made.isolate(made.nodes[0])
    made.run(cluster.LIMITS.confirm + cluster.LIMITS.guard + 2)
    case.assertEqual(list_running(made.nodes[0]), [])


def test_store_confirms_an_owner_without_its_members(case):
    made = make_cluster()
    made.isolate(made.nodes[0], store=False)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(len(list_running(made.nodes[0])), 2)


def test_majority_confirms_an_owner_without_the_store(case):
    made = make_cluster()
    made.fake.faults.down = True
    made.run(60)
    case.assertEqual(sum(map(len, map(list_running, made.nodes))), 3)
    case.assertEqual(count_runs(made), 3)
    finish(made)
    case.assertEqual(count_runs(made), 3)


def split_from_store(seconds):
    """Cut a majority with the owner off, and have another node take over.

    The owner goes on with its majority for some time. The new owner has the
    store.

    :param seconds: how long the groups stay apart after the takeover
    :returns: the cluster
    """
    made = make_cluster(5, size=5)
    made.split(made.nodes[:3])
    made.run(1)
    made.nodes[3].claim()
    made.run(seconds)
    return made


def test_majority_without_the_store_runs_nothing_twice(case):
    """A new owner with the store alone must outwait the former majority."""
    made = split_from_store(2 * LONG_WAIT_SECONDS)
    case.assertIsNotNone(made.nodes[3].owner)
    finish(made)


def append_unanswered(node):
    """Have a node's owner append, and cut it from the store before the answer.

    The entry is in the log.
    """
    request = node.pool.request

    def request_and_cut(method, path, *args, **options):
        answer = request(method, path, *args, **options)
        if path.endswith('/txn'):
            node.pool.cut = True
            raise urllib3.exceptions.ReadTimeoutError(None, path, 'cut')
        return answer

    node.pool.request = request_and_cut
    node.owner.step(node.owner.take_items())
    node.pool.request = request


def test_append_that_is_read_back_late_extends_no_grant(case):
    """A former owner finds its entry in the log, and not the claim after it.

    If it counted that as a confirmation, it would extend the leases of a side
    that its successor cannot reach and has nearly outwaited.
    """
    made = make_cluster(5, size=5)
    former, successor, *others, side = made.nodes
    for node in (successor, *others):
        made.cut(side, node)
        made.cut(former, node)
    made.submit()
    append_unanswered(former)
    case.assertTrue(former.owner.stalled)
    successor.claim()
    made.run(cluster.LIMITS.guard)
    case.assertTrue(list_running(side))
    former.pool.cut = False
    former.owner.step()
    former.pool.cut = True
    made.run(LONG_WAIT_SECONDS)
    finish(made)


def test_result_survives_an_outage_and_its_owner(case):
    made = make_cluster()
    made.fake.faults.down = True
    made.finish_running()
    made.run(10)
    made.restart_side(made.nodes[0])
    made.fake.faults.down = False
    made.run(2)
    made.nodes[1].claim()
    made.run(10)
    state = made.read_state()
    results = [task.result for task in state.tasks.values()]
    case.assertEqual(len([one for one in results if one]), 3)
    case.assertEqual(count_runs(made), 3)


def test_restarted_side_goes_on_with_what_its_worker_runs(case):
    made = make_cluster()
    made.restart_side(made.nodes[1])
    made.run(10)
    case.assertEqual(count_runs(made), 3)
    case.assertEqual(len(list_running(made.nodes[1])), 1)


def test_log_decides_between_two_owners(case):
    made = make_cluster()
    first, second, third = made.nodes
    made.cut(first, second)
    made.cut(first, third)
    second.claim()
    made.submit(2)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(made.list_owners(), [second])
    finish(made)


def test_large_submissions_are_split_into_entries(case):
    made = cluster.Cluster(3)
    # Random bytes, which do not compress.
    chance = random.Random(1)
    for _ in range(40):
        made.submit(1, argument=chance.randbytes(60_000))
    made.run(2)
    case.assertEqual(len(made.list_accepted()), 40)
    finish(made)


def test_worker_in_quarantine_is_probed_with_one_task(case):
    made = cluster.Cluster(3)
    broken = made.nodes[0]
    broken.worker.broken = True
    for _ in range(6):
        made.submit(1)
        made.run(2)
    made.run(20)
    broken.worker.broken = False
    made.submit(6)
    made.run(1)
    case.assertLessEqual(len(list_running(broken)), 1)
    finish(made)


def test_lost_answers_duplicate_nothing(case):
    made = cluster.Cluster(3)
    for _ in range(5):
        made.fake.faults.lose_answers = 2
        made.submit(1)
        made.run(2)
    finish(made)
    case.assertEqual(count_runs(made), 5)


def test_refused_attempt_is_final(case):
    """A duplicate of a refused start must not be carried out later."""
    made = make_cluster()
    node = made.nodes[1]
    sent = []
    conn = node.server.agent._conn
    conn.try_post = sent.append
    granted, node.guard.is_granted = node.guard.is_granted, lambda: False
    start = messages.StartTask(1, 'job.9', 1, exclusive=True)
    for is_granted in (node.guard.is_granted, granted):
        node.guard.is_granted = is_granted
        node.server.agent.command(conn, start)
        node.server.agent.step()
    states = [
        report.state
        for message in sent
        if isinstance(message, messages.Reports)
        for report in message.reports
        if report.task == 'job.9'
    ]
    case.assertEqual(states, [data.RunState.REFUSED] * 2)
    case.assertNotIn('job.9', list_running(node))


def test_command_on_an_ended_connection_is_not_obeyed(case):
    made = make_cluster(0)
    first, second, third = made.nodes
    made.run(2)
    made.submit(1)
    # The owner logs and sends the start, which is not delivered.
    first.step()
    first.paused = True
    target = next(
        link.name for link in first.owner.list_links() if link.pipe.to_side
    )
    pipe = next(
        link.pipe for link in first.owner.list_links() if link.name == target
    )
    node = made.find(target)
    second.claim()
    made.run(8)
    before = len(node.worker.record)
    made.deliver_to_side(pipe, node)
    node.server.agent.step()
    case.assertEqual(len(node.worker.record), before)


def test_worker_that_refuses_all_starts_is_avoided(case):
    made = cluster.Cluster(3)
    made.nodes[0].worker.broken = True
    made.submit(2)
    made.submit(2)
    made.run(12)
    running = sum(map(len, map(list_running, made.nodes)))
    case.assertEqual(running, 4)
    finish(made)


def test_cancelled_job_stops_everywhere(case):
    made = make_cluster(5)
    (job,) = made.list_accepted()
    made.cancel(job)
    made.run(3)
    case.assertEqual(sum(map(len, map(list_running, made.nodes))), 0)
    finish(made)


def test_finish_that_races_a_cancel_keeps_its_result(case):
    made = make_cluster()
    (job,) = made.list_accepted()
    made.cancel(job)
    made.finish_running()
    made.run(3)
    finish(made)
    counts = made.read_state().count_states(made.read_state().workloads[job])
    case.assertEqual(sum(counts.values()), 3)


def test_wave_of_cancellations(case):
    made = cluster.Cluster(3)
    for _ in range(300):
        made.submit(10)
    made.run(3)
    for job in made.list_accepted():
        made.cancel(job)
    made.run(6)
    case.assertEqual(len(made.list_cancelled()), 300)
    finish(made)


def test_leaving_vm_is_emptied_by_checkpoint(case):
    made = make_cluster()
    leaving = made.nodes[2]
    (task,) = list_running(leaving)
    leaving.vm.state = data.VmState.LEAVING
    made.run(12)
    case.assertEqual(list_running(leaving), [])
    resumed = [
        run
        for node in made.nodes
        for run in node.worker.record
        if run.attempt.task == task and run.attempt.attempt == 2
    ]
    case.assertEqual(len(resumed), 1)
    case.assertTrue(resumed[0].from_checkpoint.startswith(task))


def test_resigning_owner_asks_its_successor(case):
    made = make_cluster()
    made.nodes[0].owner.resign()
    made.connect_all()
    made.deliver_all()
    asked = [node for node in made.nodes if node.guard.take_takeover_request()]
    case.assertEqual(len(asked), 1)
    case.assertNotEqual(asked[0], made.nodes[0])


def test_new_member_is_used_once_it_is_in_the_log(case):
    made = make_cluster()
    vm = cluster.fixtures.make_vm(7)
    made.nodes.append(cluster.Node(made, vm, 1.0))
    made.listing.vms.append(vm)
    made.run(12)
    case.assertIn(vm.name, made.read_state().members)
    made.submit(8)
    made.run(4)
    case.assertTrue(list_running(made.nodes[-1]))


def test_vm_off_the_list_is_removed_only_after_long_silence(case):
    made = make_cluster()
    gone = made.nodes[2]
    made.listing.vms.remove(gone.vm)
    made.run(cluster.LIMITS.gone + 20, step=1.0)
    case.assertIn(gone.vm.name, made.read_state().members)
    made.fail_vm(gone)
    made.run(60, step=1.0)
    case.assertNotIn(gone.vm.name, made.read_state().members)


def test_snapshots_and_trimming_lose_nothing(case):
    made = cluster.Cluster(3)
    first, second = made.nodes[:2]
    for _ in range(3):
        made.submit(2)
        made.run(2)
        raw = first.owner._state.pack()
        written = shardlog_test.write_snapshot(first.owner._log, raw)
        case.assertTrue(written.is_ok())
    made.restart_side(first)
    second.claim()
    finish(made)
    case.assertEqual(len(made.read_state().workloads), 3)


def test_stale_owner_cannot_append_after_trimming(case):
    made = make_cluster()
    first, second = made.nodes[:2]
    first.paused = True
    made.run(5)
    second.claim()
    for _ in range(4):
        made.submit(1)
        made.run(2)
    raw = second.owner._state.pack()
    shardlog_test.write_snapshot(second.owner._log, raw)
    answer = first.owner._log.append([])
    case.assertIsInstance(answer.err_value, shardlog.Deposed)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """All faults in any order, by ``hypothesis``."""

    @stateful.initialize(
        size=strategies.integers(3, 5), seed=strategies.integers(0, 99)
    )
    def begin(self, size, seed):
        """Begin with a job that runs."""
        self.walk = walk.Walk(seed, size)
        self.walk.cluster.submit(3)
        self.walk.cluster.run(4)

    @stateful.rule(
        action=strategies.sampled_from(walk.ACTIONS),
        seed=strategies.integers(0, 9),
    )
    def act(self, action, seed):
        """Do one thing, to a node that the seed picks."""
        self.walk.random.seed(seed)
        action(self.walk)

    @stateful.rule()
    def pass_time(self):
        """Let some seconds go by."""
        self.walk.cluster.run(4)

    @stateful.invariant()
    def check(self):
        """Check what must always hold."""
        if hasattr(self, 'walk'):
            self.walk.cluster.check()

    def teardown(self):
        """Heal everything; all work has to come to its end."""
        if hasattr(self, 'walk'):
            finish(self.walk.cluster)


def test_any_order_of_faults(case):
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=30,
        stateful_step_count=25,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(OwnershipMachine, settings=settings)


def test_random_walks(case):
    for seed in range(12):
        walk.Walk(seed).run()
