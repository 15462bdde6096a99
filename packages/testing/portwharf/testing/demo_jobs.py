# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make run-jobs``: demonstrates jobs on the platform's interfaces.

Starts the deployment of the soak test without its faults: two entries and
four sides as processes, and fakes of the store and the runners. Submits a
single-step job, a job of two steps and a gang, prints each call as a ``curl``
command, and waits for the jobs to complete.
"""

import json
import sys
import tempfile

from portwharf.testing import soak_checks
from portwharf.testing import soak_clients
from portwharf.testing import soak_world

_COMPLETION_SECONDS = 60.0
# Second octet of the deployment's loopback addresses.
_NETWORK = 76


def make_jobs():
    """Return the jobs to submit, as ``soak_clients.ClientJob`` values."""
    check = [_make_step(4, 300, 200)]
    plan = [_make_step(6, 900, 1000), _make_step(2, 600, 1000, after=[0])]
    gang = [_make_step(3, 500, 1000, gang=True)]
    return [
        _make_job('00000000000000a1', check),
        _make_job('00000000000000a2', plan),
        _make_job('00000000000000a3', gang),
    ]


def run(world):
    """Submit the jobs and wait for their end; returns a list of problems."""
    client = soak_clients.Client(world, 1)
    if not client.wait_until_served():
        return ['the entries do not answer']
    jobs = make_jobs()
    for job in jobs:
        _print_call(world, job)
        client.submit(job)
        print(f'  {job.statuses[-1]}')

    def are_done():
        return all(client.query_state(job)[1] == 'completed' for job in jobs)

    soak_world.wait_until(are_done, _COMPLETION_SECONDS)
    for job in jobs:
        print(f'{job.id}: {", ".join(dict.fromkeys(job.states))}')
    spans = [span for side in world.sides for span in side.runner.record]
    print(f'{len(spans)} runs on {len(world.sides)} runners')
    return soak_checks.check_all(jobs, spans)


def _make_step(count, work_ms, cpu, after=(), gang=False):
    """Return a step of a job, with the fields of the submission's JSON.

    :param count: number of tasks
    :param work_ms: run time of a task in milliseconds
    :param cpu: CPU of a task in thousandths
    :param after: numbers of the steps that it starts after
    """
    row = {'count': count, 'cpu': cpu, 'memMb': 100, 'estimateMs': work_ms}
    row |= {'gang': gang, 'longRunning': False}
    if after:
        row['watchRev'] = list(after)
    return row


def _make_job(job_id, steps):
    task_specs = [
        {'ms': row['estimateMs'], 'cpu': row['cpu'], 'memory': row['memMb']}
        for row in steps
    ]
    spec = json.dumps({'id': job_id, 'steps': task_specs})
    return soak_clients.ClientJob(job_id, spec, steps)


def _print_call(world, job):
    address, port = world.find_client_place(world.entries[0])
    url = f'http://{address}:{port}{soak_world.PREFIX}{job.id}'
    body = json.dumps({'spec': job.spec, 'steps': job.steps})
    print(f"curl -H 'Host: {soak_world.HOST}' -d '{body}' {url}")


def main():
    """Run the demonstration; returns 0 only if no problem was found."""
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        with soak_world.World(folder, _NETWORK) as world:
            problems = run(world)
    for problem in problems:
        print(problem, file=sys.stderr)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
