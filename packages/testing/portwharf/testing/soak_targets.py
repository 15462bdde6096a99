# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The soak's promise to what serves: nothing that fills harms it for long.

A task that serves runs on each VM from the beginning. Once all faults are
over, filling tasks are placed beside them, and have to give way: a process
that has restarted has to know what runs.
"""

import json
import time

from portwharf.testing import soak_clients
from portwharf.testing import soak_pressure
from portwharf.testing import soak_world

_FILL_MS = 60_000
# A server over its target for so long on end, in seconds, was not protected;
# a poll is each 0.4 s, and a brake halves what is left each time.
HARM_SECONDS = 4.0
# For the time until the filling tasks run.
_BEGIN_SECONDS = 15.0
_LOOK_SECONDS = 0.1
# Ids of a seed's jobs.
NUMBERS_A_SEED = 256


def make_job(client, number, fills):
    """Return a job with a task on each runner that serves, or fills."""
    work = {'ms': _FILL_MS, 'memory': 100, 'lasts': not fills}
    row = {
        'count': soak_world.SIDES,
        'memMb': 100,
        'image': 'plan' if fills else 'desk',
        'antiAffinity': 1,
        'longRunning': not fills,
        'gang': False,
    }
    if fills:
        work['fills'] = row['fills'] = True
        row['cpu'] = soak_pressure.FILL_MILLI
    else:
        work['serves'] = True
        row['target_ms'] = soak_pressure.TARGET_MS
    job_id = f'{number:016x}'
    spec = json.dumps({'id': job_id, 'steps': [work]})
    told = soak_clients.Told(job_id, spec, [row])
    client.told.append(told)
    client.submit(told)
    return told


def check_targets(world, client, number):
    """Place filling work beside the servers, and see that it gives way.

    One side's process is killed before, while its runner goes on.

    :returns: a list of sentences, one for each server over its target
    """
    restarted = world.sides[number % len(world.sides)]
    world.kill(restarted)
    world.start(restarted)
    told = make_job(client, number, True)

    def all_run():
        return all(one.runner.list_fills() for one in world.sides)

    # What lasts there may leave no room: then there is nothing to judge.
    soak_world.wait_until(all_run, _BEGIN_SECONDS)
    harmed = {one.name for one in world.sides if _presses(one.runner)}
    print(f'  {len(harmed)} servers beside what fills', flush=True)
    until = time.monotonic() + HARM_SECONDS
    while harmed and time.monotonic() < until:
        harmed -= _find_well(world)
        time.sleep(_LOOK_SECONDS)
    client.cancel(told)
    return [
        f'{name}: over the target for {HARM_SECONDS} s, by what fills beside'
        for name in sorted(harmed)
    ]


def _find_well(world):
    """Return the names of the sides whose servers are under their target."""
    return {
        side.name
        for side in world.sides
        if soak_pressure.find_tail(side.runner.list_fills())
        <= soak_pressure.TARGET_MS
    }


def _presses(runner):
    return bool(runner.list_servers() and runner.list_fills())
