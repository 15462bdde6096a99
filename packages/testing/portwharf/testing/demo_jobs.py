# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make run-jobs``: jobs on the platform's interfaces, shown to a newcomer.

Starts the world of the soak without its faults: two entries and four sides
as processes, stand-ins for store and runners. Hands in a quick check, a plan
of two steps and a gang, prints each call as ``curl`` would make it, and
follows the jobs to their end.
"""

import json
import sys
import tempfile

from portwharf.testing import soak_checks
from portwharf.testing import soak_clients
from portwharf.testing import soak_world

_END_SECONDS = 60.0
_NETWORK = 76


def make_jobs():
    """Return what is handed in, as ``soak_clients.Told`` values."""
    check = [_make_step(4, 300, 200)]
    plan = [_make_step(6, 900, 1000), _make_step(2, 600, 1000, after=[0])]
    gang = [_make_step(3, 500, 1000, gang=True)]
    return [
        _make_told('00000000000000a1', check),
        _make_told('00000000000000a2', plan),
        _make_told('00000000000000a3', gang),
    ]


def run(world):
    """Hand the jobs in and follow them; returns what went wrong."""
    client = soak_clients.Client(world, 1)
    if not client.wait_until_served():
        return ['the entries do not answer']
    jobs = make_jobs()
    for told in jobs:
        _print_call(world, told)
        client.submit(told)
        print(f'  {told.statuses[-1]}')

    def are_done():
        return all(client.show(one)[1] == 'completed' for one in jobs)

    soak_world.wait_until(are_done, _END_SECONDS)
    for told in jobs:
        print(f'{told.id}: {", ".join(dict.fromkeys(told.states))}')
    spans = [span for side in world.sides for span in side.runner.record]
    print(f'{len(spans)} runs on {len(world.sides)} runners')
    return soak_checks.check_all(jobs, spans)


def _make_step(count, work_ms, cpu, after=(), gang=False):
    """Return a step of a job; what its tasks do is told by the same."""
    row = {'count': count, 'cpu': cpu, 'memMb': 100, 'estimateMs': work_ms}
    row |= {'gang': gang, 'longRunning': False}
    if after:
        row['watchRev'] = list(after)
    return row


def _make_told(job_id, steps):
    works = [
        {'ms': row['estimateMs'], 'cpu': row['cpu'], 'memory': row['memMb']}
        for row in steps
    ]
    spec = json.dumps({'id': job_id, 'steps': works})
    return soak_clients.Told(job_id, spec, steps)


def _print_call(world, told):
    address, port = world.find_client_place(world.entries[0])
    url = f'http://{address}:{port}{soak_world.PREFIX}{told.id}'
    body = json.dumps({'spec': told.spec, 'steps': told.steps})
    print(f"curl -H 'Host: {soak_world.HOST}' -d '{body}' {url}")


def main():
    """Run the demonstration; exit code 0 only if all came out right."""
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        with soak_world.World(folder, _NETWORK) as world:
            problems = run(world)
    for problem in problems:
        print(problem, file=sys.stderr)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
