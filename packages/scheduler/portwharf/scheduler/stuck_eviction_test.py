# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An eviction that does not end must not hold up the rest of the shard."""

import result

from portwharf.core import data
from portwharf.scheduler import ownership_test

LONG_WAIT_SECONDS = ownership_test.LONG_WAIT_SECONDS


def test_one_stop_without_an_answer_does_not_end_all_preemption(case):
    made = ownership_test.make_cluster(6)
    node = made.nodes[2]
    case.assertEqual(len(ownership_test.list_running(node)), 2)
    node.worker.stop = lambda *_: result.Err('no answer')
    made.listing.set_leaving({node.vm.name})
    made.run(LONG_WAIT_SECONDS)
    made.submit(1, kind=data.Kind.SERVICE, team='web')
    made.run(LONG_WAIT_SECONDS)
    state = made.read_state()
    (service,) = state.services.values()
    placed = [task.state for task in state.list_tasks(service)]
    case.assertEqual(placed, [data.TaskState.PLACED])


def test_work_is_not_evicted_in_turn_on_a_worker_without_answers(case):
    """Each eviction there frees no room and costs one more task its work."""
    made = ownership_test.make_cluster(6)
    node, *others = made.nodes
    made.listing.set_leaving({other.vm.name for other in others})
    node.worker.stop = lambda *_: result.Err('no answer')
    made.run(2)
    made.submit(1, kind=data.Kind.SERVICE, team='web')
    made.run(LONG_WAIT_SECONDS)
    held = node.owner._state.held[node.vm.name].values()
    states = sorted(task.state for task in held)
    case.assertEqual(states, [data.TaskState.EVICTING, data.TaskState.PLACED])
