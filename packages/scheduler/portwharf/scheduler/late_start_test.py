# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Cancelled work ends, even if it starts late or another side started it.

A worker may leave a start unanswered and carry it out many seconds later, when
the side that sent it is gone.
"""

import result

from portwharf.testing import cluster
from portwharf.testing import cluster_fakes

_NO_ANSWER = result.Err('silent')


class LateWorker(cluster_fakes.FakeWorker):
    """A worker that leaves commands unanswered and runs starts late."""

    def __init__(self, now):
        super().__init__(now)
        self.delays = False
        self._starts = []
        self._stopped = set()

    def start(self, start):
        if not self.delays:
            return super().start(start)
        self._starts.append(start)
        return _NO_ANSWER

    def stop(self, task, attempt, checkpoint):
        if self.delays:
            return _NO_ANSWER
        # An attempt that is stopped before it starts must not start later.
        self._stopped.add((task, attempt))
        return super().stop(task, attempt, checkpoint)

    def carry_out(self):
        """Run the starts that were left unanswered."""
        for start in self._starts:
            if (start.task, start.attempt) not in self._stopped:
                super().start(start)
        self._starts = []

    def count_running(self):
        """Return how many attempts run."""
        self.expire()
        return sum(1 for run in self.runs if run.running)


def make_cluster():
    """Return a cluster whose workers can delay starts, with an owner."""
    made = cluster.Cluster(3)
    for node in made.nodes:
        node.worker = LateWorker(node.clock)
        made.restart_side(node)
    made.run(1)
    # Tasks are placed on the first VM, so another one must be the owner.
    made.nodes[2].claim()
    made.run(15)
    return made


def submit_unanswered(made):
    """Submit a job whose only start is left unanswered.

    :returns: the id of the job, and the node whose worker has the start
    """
    for node in made.nodes:
        node.worker.delays = True
    accepted = made.submit()
    made.run(1)
    (node,) = [node for node in made.nodes if node.worker._starts]
    return accepted.value.id, node


def test_start_carried_out_after_its_cancellation_is_stopped(case):
    made = make_cluster()
    job, node = submit_unanswered(made)
    made.cancel(job)
    made.run(1)
    node.worker.carry_out()
    case.assertEqual(node.worker.count_running(), 1)
    node.worker.delays = False
    made.run(2)
    case.assertEqual(node.worker.count_running(), 0)


def test_start_carried_out_late_after_its_stop_does_not_run(case):
    made = make_cluster()
    job, node = submit_unanswered(made)
    made.cancel(job)
    node.worker.delays = False
    made.run(12)
    node.worker.carry_out()
    made.run(2)
    case.assertEqual(node.worker.count_running(), 0)


def test_late_start_is_stopped_by_a_side_that_never_sent_it(case):
    made = make_cluster()
    job, node = submit_unanswered(made)
    made.restart_side(node)
    made.cancel(job)
    made.run(3)
    node.worker.carry_out()
    node.worker.delays = False
    made.run(3)
    case.assertEqual(node.worker.count_running(), 0)


def test_restarted_side_stops_a_task_cancelled_meanwhile(case):
    made = make_cluster()
    accepted = made.submit()
    made.run(2)
    (node,) = [n for n in made.nodes if n.worker.count_running()]
    made.isolate(node)
    made.cancel(accepted.value.id)
    made.run(1)
    made.heal()
    made.restart_side(node)
    made.run(4)
    case.assertEqual(node.worker.count_running(), 0)


def test_cancelled_task_of_a_lost_side_ends_with_its_lease(case):
    made = make_cluster()
    accepted = made.submit()
    made.run(2)
    (node,) = [n for n in made.nodes if n.worker.count_running()]
    node.end_owner()
    made.break_pipes(node)
    node.down = True
    made.cancel(accepted.value.id)
    made.run(2 + cluster.LIMITS.replace_after_grant)
    case.assertEqual(node.worker.count_running(), 0)
