# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Prepared tasks start during an outage, once, and are not lost."""

from portwharf.peers import messages
from portwharf.scheduler import ownership_test


def test_prepared_tasks_start_during_an_outage(case):
    made = ownership_test.make_cluster(10)
    case.assertEqual(ownership_test.count_runs(made), 6)
    made.fake.faults.down = True
    made.run(3)
    made.finish_running()
    made.run(5)
    case.assertEqual(ownership_test.count_runs(made), 10)
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 10)


def test_prepared_task_started_in_an_outage_survives_its_owner(case):
    made = ownership_test.make_cluster(10)
    made.fake.faults.down = True
    made.run(3)
    made.finish_running()
    made.run(5)
    made.restart_side(made.nodes[0])
    made.fake.faults.down = False
    made.run(3)
    made.nodes[1].claim()
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 10)


def test_prepared_task_is_kept_until_its_side_reports(case):
    made = ownership_test.make_cluster(10)
    made.fake.faults.down = True
    made.run(3)
    made.finish_running()
    made.run(5)
    made.restart_side(made.nodes[0])
    made.fake.faults.down = False
    made.run(3)
    made.nodes[1].claim()
    # The new owner's first pass runs before any side has reported.
    made.time.advance(1.5)
    made.nodes[1].owner.step()
    prepared = made.read_state().prepared
    case.assertTrue(prepared['vm-00'])
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 10)


def test_prepared_task_of_a_silent_vm_is_not_started_elsewhere(case):
    made = ownership_test.make_cluster(10)
    silent = made.nodes[2]
    prepared = set(made.read_state().prepared[silent.vm.name])
    case.assertTrue(prepared)
    made.isolate(silent)
    made.run(6)
    made.finish_running()
    made.run(3)
    started = {
        run.attempt.task for node in made.nodes for run in node.worker.record
    }
    case.assertFalse(prepared & started)
    ownership_test.finish(made)


def test_lost_start_of_a_prepared_task_is_repeated(case):
    """A start that was lost during an outage of the store is sent again.

    Sequence: an append is stalled, tasks of a VM end, and the owner starts a
    prepared one there. The connection fails and the command is lost. The next
    report does not list the attempt; the owner has to notice that although
    the log holds the task only as prepared.
    """
    made = ownership_test.make_cluster(10)
    made.fake.faults.down = True
    owner = made.nodes[0].owner
    link = owner._members.get_link('vm-01')
    lost = []
    send = link.send

    def lose(message):
        if isinstance(message, messages.StartTask) and owner.stalled:
            lost.append(message)
            link.pipe.closed = True
        return send(message)

    link.send = lose
    made.submit(1)
    made.run(2)
    made.finish_running()
    made.run(5)
    case.assertTrue(lost)
    made.submit(1)
    ownership_test.finish(made)
