# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Commands that wait in a side while its agent waits for the worker.

Signs of life keep the owner's connection open meanwhile, so that nothing
drops what waits; and the grant that answers the first heartbeat after it
overtakes them, as only commands wait for the agent's thread.
"""

from portwharf.core import data
from portwharf.scheduler import ownership_test


def hold_up(node):
    """Have a node's agent wait for its worker.

    :returns: a function that lets it go on, one command a round
    """
    agent = node.server.agent
    step = agent.step
    agent.step = lambda timeout=0.0: None
    calls = iter(range(10_000))

    def step_slowly(timeout=0.0):
        if next(calls) % 4 == 0:
            step(timeout)

    def let_go():
        agent.step = step_slowly

    return let_go


def test_start_that_waited_does_not_begin_once_the_task_runs_elsewhere(case):
    """The cluster finds the task on two workers if it does."""
    made = ownership_test.make_cluster(count=0)
    node = made.nodes[2]
    let_go = hold_up(node)
    made.submit(count=9, resources=data.Resources(400, 400))
    made.run(ownership_test.LONG)
    places = [len(ownership_test.list_running(one)) for one in made.nodes]
    case.assertEqual(sum(places), 9)
    let_go()
    made.run(2)
    case.assertEqual(ownership_test.list_running(node), [])
