# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The operators' configuration, and clients' jobs, in portwharf's types.

A route on the wire is a queue of ours, and its service a pool of workers.
"""

import json

import result

from portwharf.core import data
from portwharf.scheduler import configuration
from portwharf.scheduler import jobs

CONFIG_KEY = 'op/config'
MAX_SPEC_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS = 100_000


def parse_config(text, revision):
    """Read the configuration.

    :returns: Ok(configuration.Configuration), or Err(list of Problems)
    """
    try:
        value = json.loads(text) if text else {}
        queues = [_read_queue(route) for route in value.get('routes', [])]
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        problem = data.Problem(
            'bad-configuration',
            CONFIG_KEY,
            '',
            f'cannot be read: {exc!r}',
            'write it again, whole',
        )
        return result.Err([problem])
    # The longest prefix comes first.
    queues.sort(key=lambda queue: -len(queue.prefix))
    return result.Ok(
        configuration.Configuration(revision, text, queues=queues)
    )


def find_queue(cfg, host, path):
    """Return the ``configuration.Queue`` of a request, or None."""
    for queue in cfg.queues:
        if queue.host == host and path.startswith(queue.prefix):
            return queue
    return None


def read_job(job_id, queue, value):
    """Return a client's job as a ``data.Job``.

    :param value: the body, as JSON gives it
    :returns: Ok(data.Job), or Err(Problem)
    """
    try:
        job = _read_job(job_id, queue, value)
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        return result.Err(_describe(job_id, '', f'cannot be read: {exc!r}'))
    if len(job.argument) > MAX_SPEC_BYTES:
        text = f'must be at most {MAX_SPEC_BYTES} bytes'
        return result.Err(_describe(job_id, 'spec', text))
    tasks = sum(step.count for step in job.steps)
    if len(job.steps) > MAX_STEPS or tasks > MAX_TASKS:
        text = f'must be at most {MAX_STEPS} with {MAX_TASKS} tasks'
        return result.Err(_describe(job_id, 'steps', text))
    problem = jobs.find_problem(job)
    return result.Ok(job) if problem is None else result.Err(problem)


def _read_queue(route):
    return configuration.Queue(
        route['name'],
        route['host'],
        route['pathPrefix'],
        route['service'],
        int(route.get('priority', 0)),
        int(route.get('maxAttempts', 0)),
        float(route.get('stretch', 1.0)),
        int(route.get('targetLatencyMs', 0)),
        int((route.get('advice') or {}).get('valid_ms', 0)),
    )


def _read_job(job_id, queue, value):
    steps = [_read_step(queue, step) for step in value['steps']]
    chains = jobs.measure_chains(steps)
    times = int(value.get('maxRuns', 0))
    return data.Job(
        job_id,
        queue.name,
        queue.rank,
        value.get('spec', '').encode(),
        steps,
        int(queue.stretch * max(chains, default=0)) + queue.allowance_ms,
        times,
        int(value.get('initialMs', 0)),
        int(value.get('intervalMs', 0)),
    )


def _read_step(queue, step):
    lasts = bool(step.get('longRunning'))
    return data.Workload(
        kind=data.Kind.STANDING if lasts else data.Kind.BATCH,
        resources=data.Resources(
            int(step.get('cpu', 0)),
            int(step.get('memMb', 0)),
            int(step.get('gpu', 0)),
        ),
        count=int(step['count']),
        checkpointable=bool(step.get('checkpoints')),
        program=step.get('image', ''),
        # On the wire these are the numbers of earlier steps.
        after=[str(int(number)) for number in step.get('watchRev', [])],
        pool=queue.pool,
        label=step.get('requires', ''),
        data_rack=step.get('affinity', ''),
        most_per_vm=int(step.get('antiAffinity', 0)),
        gang=bool(step.get('gang')),
        same_rack=bool(step.get('sameRack')),
        image=step.get('image', ''),
        target_ms=int(step.get('target_ms', 0)),
        fills=bool(step.get('fills')),
        most_away=int(step.get('may_miss', 0)),
        run_ms=int(step.get('estimateMs', 0)),
        max_failures=queue.max_failures,
        ticket_ms=queue.ticket_ms,
    )


def _describe(job_id, field, text):
    return data.Problem(
        'bad-job', field, '', text, f'mend it and send {job_id} again'
    )
