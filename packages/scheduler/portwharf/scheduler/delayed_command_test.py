# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Commands that wait in a side while its agent waits for the worker.

Heartbeats keep the connection of the owner open meanwhile, so the waiting
commands are not dropped. The grant that answers the next heartbeat overtakes
them, as only commands wait for the thread of the agent.
"""

from portwharf.core import data
from portwharf.scheduler import ownership_test


def block_agent(node):
    """Stop a node's agent as if it waited for its worker.

    :returns: a function that lets it go on, at one command a round
    """
    agent = node.server.agent
    step = agent.step
    agent.step = lambda timeout=0.0: None
    calls = iter(range(10_000))

    def step_slowly(timeout=0.0):
        if next(calls) % 4 == 0:
            step(timeout)

    def unblock():
        agent.step = step_slowly

    return unblock


def test_delayed_start_is_dropped_once_the_task_runs_elsewhere(case):
    """Otherwise the cluster finds the task on two workers."""
    made = ownership_test.make_cluster(count=0)
    node = made.nodes[2]
    unblock = block_agent(node)
    made.submit(count=9, resources=data.Resources(400, 400))
    made.run(ownership_test.LONG_WAIT_SECONDS)
    places = [len(ownership_test.list_running(one)) for one in made.nodes]
    case.assertEqual(sum(places), 9)
    unblock()
    made.run(2)
    case.assertEqual(ownership_test.list_running(node), [])
