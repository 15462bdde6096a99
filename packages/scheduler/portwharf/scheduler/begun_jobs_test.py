# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Jobs are pending until a worker has begun one of their tasks."""

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs_test
from portwharf.scheduler import operations
from portwharf.testing import cluster


def count_pending(made):
    """Return the count of pending jobs that the owner gives."""
    (node,) = made.list_owners()
    query = codec.pack(operations.Query('plans'))
    answer = node.ask(messages.Operation(1, 'count-pending', query))
    return codec.unpack(job_operations.Pending, answer.body).count


def make_cluster(broken):
    """Return a cluster with a job of one step, after some seconds.

    :param broken: its workers refuse all starts
    """
    made = cluster.Cluster(3)
    made.run(4)
    for node in made.nodes:
        node.worker.broken = broken
    made.submit_job(jobs_test.make_job(jobs_test.make_step(2)))
    made.run(2)
    return made


def test_job_whose_starts_are_refused_is_pending(case):
    """Placed, but refused by each worker, it was missing among them."""
    made = make_cluster(broken=True)
    case.assertEqual(count_pending(made), 1)
    for node in made.nodes:
        node.worker.broken = False
    made.run(30)
    case.assertEqual(count_pending(made), 0)


def test_job_that_runs_is_not_pending_for_a_new_owner(case):
    made = make_cluster(broken=False)
    case.assertEqual(count_pending(made), 0)
    made.restart_side(made.nodes[0])
    made.nodes[1].claim()
    made.run(3)
    case.assertEqual(count_pending(made), 0)


def test_job_with_a_task_that_has_ended_is_not_pending(case):
    made = make_cluster(broken=False)
    for node in made.nodes:
        for run in node.worker.runs[:1]:
            node.worker.finish(run.attempt.task, data.RunState.FAILED)
    made.run(0.5)
    case.assertEqual(count_pending(made), 0)
