# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks in the soak test that filling tasks yield to server tasks.

A server task runs on each VM from the beginning. After the faults have been
healed, filling tasks are placed beside them and have to be paced until the
servers meet their latency targets. One side is restarted just before: it has
to recover which tasks run.
"""

import json
import time

from portwharf.testing import soak_clients
from portwharf.testing import soak_pressure
from portwharf.testing import soak_world

_FILL_MS = 60_000
# Longest time that a server may be over its target. Tails are polled every
# 0.4 s, and the pace of the filling tasks is at most halved each time.
MAX_OVER_TARGET_SECONDS = 4.0
# Longest wait for the filling tasks to start.
_START_TIMEOUT_SECONDS = 15.0
_POLL_INTERVAL_SECONDS = 0.1
# Job ids reserved for each seed.
JOB_IDS_PER_SEED = 256


def make_job(client, job_number, runner_count, fills):
    """Submit a job with a server or filling task for each runner.

    :param fills: make filling tasks, not servers
    :returns: the ``soak_clients.ClientJob`` of the job
    """
    step_spec = {'ms': _FILL_MS, 'memory': 100, 'lasts': not fills}
    step = {
        'count': runner_count,
        'memMb': 100,
        'image': 'plan' if fills else 'desk',
        'antiAffinity': 1,
        'longRunning': not fills,
        'gang': False,
    }
    if fills:
        step_spec['fills'] = step['fills'] = True
        step['cpu'] = soak_pressure.FILL_CPU_MILLI
    else:
        step_spec['serves'] = True
        step['target_ms'] = soak_pressure.TARGET_MS
    job_id = f'{job_number:016x}'
    spec = json.dumps({'id': job_id, 'steps': [step_spec]})
    job = soak_clients.ClientJob(job_id, spec, [step])
    client.jobs.append(job)
    client.submit(job)
    return job


def check_targets(world, client, job_number):
    """Place filling tasks beside the servers and check that they yield.

    First kills and restarts one side, whose runner continues.

    :param job_number: the id of the job, which also selects the side
    :returns: a list of messages, one for each server over its target
    """
    restarted = world.sides[job_number % len(world.sides)]
    world.kill(restarted)
    world.start(restarted)
    job = make_job(client, job_number, len(world.sides), True)

    def all_run():
        return all(side.runner.list_fill_paces() for side in world.sides)

    # Runners without room for a filling task are not checked.
    soak_world.wait_until(all_run, _START_TIMEOUT_SECONDS)
    over_target = {
        side.name
        for side in world.sides
        if _has_servers_and_fills(side.runner)
    }
    print(f'  {len(over_target)} servers beside filling tasks', flush=True)
    deadline = time.monotonic() + MAX_OVER_TARGET_SECONDS
    while over_target and time.monotonic() < deadline:
        over_target -= _find_in_target(world)
        time.sleep(_POLL_INTERVAL_SECONDS)
    client.cancel(job)
    return [
        f'{name}: over its target for {MAX_OVER_TARGET_SECONDS} s beside '
        'filling tasks'
        for name in sorted(over_target)
    ]


def _find_in_target(world):
    """Return the names of the sides whose servers meet their target."""
    return {
        side.name
        for side in world.sides
        if soak_pressure.get_tail_ms(side.runner.list_fill_paces())
        <= soak_pressure.TARGET_MS
    }


def _has_servers_and_fills(runner):
    return bool(runner.list_servers() and runner.list_fill_paces())
