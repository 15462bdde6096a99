# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A cancellation that was acknowledged ends what runs, whatever is lost.

Each test loses or delays the order to stop after the owner has logged and
acknowledged the cancellation.
"""

from portwharf.core import data
from portwharf.scheduler import batches
from portwharf.scheduler import jobs_test
from portwharf.scheduler import operations
from portwharf.scheduler import ownership_test
from portwharf.testing import cluster
from portwharf.testing import cluster_fakes

# Longer than a new connection and its full report take, and shorter than the
# lease of a task that nobody stops.
STOP_SECONDS = 4.0


def start_lasting_tasks(case):
    """Return a cluster with a task on each node, and one that is no owner."""
    made = ownership_test.make_cluster(kind=data.Kind.STANDING)
    for node in made.nodes:
        case.assertTrue(ownership_test.list_running(node))
    return made, made.nodes[1]


def step_owner(made):
    """Let the owner make one pass; its commands are not delivered yet."""
    owner = made.nodes[0].owner
    owner.step(owner.take_items())


def acknowledge_cancellation(case, made):
    """Cancel the job; the orders to stop are still in the connections."""
    fut = made.cancel(made.list_accepted()[0])
    step_owner(made)
    case.assertIsInstance(fut.value, operations.Cancelled)


def check_stopped(case, made, seconds=STOP_SECONDS):
    """Check that nothing runs after some seconds, and that the log says so."""
    made.run(seconds)
    for node in made.nodes:
        case.assertEqual(ownership_test.list_running(node), [])
    states = {task.state for task in made.read_state().tasks.values()}
    case.assertEqual(states, {data.TaskState.CANCELLED})


def test_order_that_is_lost_with_its_connection(case):
    made, node = start_lasting_tasks(case)
    acknowledge_cancellation(case, made)
    made.break_pipes(node)
    check_stopped(case, made)


def test_order_that_arrives_and_waits_when_its_connection_ends(case):
    made, node = start_lasting_tasks(case)
    acknowledge_cancellation(case, made)
    made.deliver_all()
    made.break_pipes(node)
    check_stopped(case, made)


def test_order_that_arrives_after_its_connection_has_ended(case):
    made, node = start_lasting_tasks(case)
    acknowledge_cancellation(case, made)
    made.break_pipes(node)
    made.connect_all()
    made.deliver_stale()
    check_stopped(case, made)


def test_order_to_a_side_that_restarts(case):
    made, node = start_lasting_tasks(case)
    acknowledge_cancellation(case, made)
    made.deliver_all()
    made.restart_side(node)
    check_stopped(case, made)


def test_order_of_an_owner_that_ends(case):
    made, _ = start_lasting_tasks(case)
    acknowledge_cancellation(case, made)
    made.restart_side(made.nodes[0])
    made.nodes[1].claim()
    check_stopped(case, made)


def test_order_to_a_side_that_is_cut_off(case):
    made, node = start_lasting_tasks(case)
    acknowledge_cancellation(case, made)
    made.break_pipes(node)
    made.cut(made.nodes[0], node)
    made.run(1.5)
    made.heal()
    check_stopped(case, made)


def test_order_to_a_worker_that_does_not_answer(case):
    made, node = start_lasting_tasks(case)
    node.worker.silent = True
    acknowledge_cancellation(case, made)
    made.run(2)
    node.worker.silent = False
    check_stopped(case, made)


def test_order_about_a_start_that_was_not_confirmed(case):
    made = cluster.Cluster(3)
    made.run(4)
    node = made.nodes[1]
    for other in made.nodes:
        other.worker.lost_answers = 2
    made.submit(3, kind=data.Kind.STANDING)
    step_owner(made)
    made.deliver_all()
    node.server.agent.step()
    acknowledge_cancellation(case, made)
    check_stopped(case, made)


def test_order_that_is_lost_after_the_start_before_it(case):
    made = cluster.Cluster(3)
    made.run(4)
    made.submit(3, kind=data.Kind.STANDING)
    step_owner(made)
    made.deliver_all()
    acknowledge_cancellation(case, made)
    for node in made.nodes:
        made.break_pipes(node)
        for _ in range(3):
            node.server.agent.step()
    check_stopped(case, made)


def test_order_that_is_lost_with_the_start_before_it(case):
    made = cluster.Cluster(3)
    made.run(4)
    made.submit(3, kind=data.Kind.STANDING)
    step_owner(made)
    acknowledge_cancellation(case, made)
    for node in made.nodes:
        made.break_pipes(node)
    check_stopped(case, made)
    case.assertEqual(ownership_test.count_runs(made), 0)


def test_task_that_is_being_evicted(case):
    made, node = start_lasting_tasks(case)
    node.worker.silent = True
    made.listing.set_leaving({node.vm.name})
    made.run(2)
    acknowledge_cancellation(case, made)
    node.worker.silent = False
    check_stopped(case, made)


def test_cancellation_during_a_stalled_append(case):
    """It is not acknowledged before it is logged, and holds from then on."""
    made, node = start_lasting_tasks(case)
    made.nodes[0].pool.cut = True
    fut = made.cancel(made.list_accepted()[0])
    step_owner(made)
    case.assertIsNone(fut.value)
    made.break_pipes(node)
    made.nodes[0].pool.cut = False
    check_stopped(case, made)
    case.assertIsInstance(fut.value, operations.Cancelled)


def test_submission_that_its_cancellation_has_overtaken(case):
    """They come by two entries, the submission on the slower link."""
    made = cluster.Cluster(3)
    made.run(4)
    job = jobs_test.make_job(jobs_test.make_step())
    early = made._call('cancel-job', operations.Query(job.id))
    step_owner(made)
    case.assertIsNotNone(early.value)
    made.submit_job(job)
    made.run(STOP_SECONDS)
    case.assertEqual(ownership_test.count_runs(made), 0)


def test_former_owner_does_not_call_an_accepted_job_unknown(case):
    """It is still confirmed, and the job was accepted by its successor."""
    made = cluster.Cluster(3)
    made.run(4)
    former, successor = made.nodes[:2]
    successor.claim()
    job = jobs_test.make_job(jobs_test.make_step(kind=data.Kind.STANDING))
    accepted = made.submit_job(job)
    successor.owner.step(successor.owner.take_items())
    case.assertIsInstance(accepted.value, operations.Accepted)
    case.assertTrue(former.owner.is_confirmed())
    call = batches.OperatorCall(
        cluster_fakes.FakeFuture(), 'cancel-job', operations.Query(job.id)
    )
    former.owner.step([call])
    code = getattr(call.fut.value, 'code', '')
    case.assertNotEqual(code, 'unknown-id')
