# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The operators' configuration, and clients' jobs, in portwharf's types.

A route on the wire is a queue of ours, and its service a pool of workers.
"""

import json

import result

from portwharf.core import data
from portwharf.platform import fields
from portwharf.scheduler import configuration
from portwharf.scheduler import jobs

CONFIG_KEY = 'op/config'
# A key for each availability zone that nothing may begin in, after this.
ZONES_PREFIX = 'op/evacuate/'
MAX_SPEC_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS = 100_000


def parse_config(text, revision):
    """Read the configuration.

    :returns: Ok(configuration.Configuration), or Err(list of Problems)
    """
    try:
        value = json.loads(text) if text else {}
        routes = fields.read_list(value, 'routes', dict)
        queues = [_read_queue(route) for route in routes]
    except (AttributeError, ValueError, RecursionError) as exc:
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
    except (AttributeError, ValueError) as exc:
        return result.Err(_describe(job_id, '', f'cannot be read: {exc}'))
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
        fields.read_text(route, 'name', None),
        fields.read_text(route, 'host', None),
        fields.read_text(route, 'pathPrefix', None),
        fields.read_text(route, 'service', None),
        fields.read_whole(route, 'priority'),
        fields.read_whole(route, 'maxAttempts'),
        fields.read_share(route, 'stretch', 1.0),
        fields.read_whole(route, 'targetLatencyMs'),
        fields.read_whole(fields.read_map(route, 'advice'), 'valid_ms'),
    )


def _read_job(job_id, queue, value):
    rows = fields.read_list(value, 'steps', dict, None)
    steps = [
        _read_step(queue, step, number) for number, step in enumerate(rows)
    ]
    chains = jobs.measure_chains(steps)
    times = fields.read_whole(value, 'maxRuns')
    return data.Job(
        job_id,
        queue.name,
        queue.rank,
        fields.read_text(value, 'spec').encode(),
        steps,
        int(queue.stretch * max(chains, default=0)) + queue.allowance_ms,
        times,
        fields.read_whole(value, 'initialMs'),
        fields.read_whole(value, 'intervalMs'),
        queue.stretch,
        queue.allowance_ms,
    )


def _read_step(queue, step, number):
    """Return the workload of a step.

    :param number: how many steps come before it
    """
    lasts = fields.read_flag(step, 'longRunning')
    image = fields.read_text(step, 'image')
    return data.Workload(
        kind=data.Kind.STANDING if lasts else data.Kind.BATCH,
        resources=data.Resources(
            fields.read_whole(step, 'cpu'),
            fields.read_whole(step, 'memMb'),
            fields.read_whole(step, 'gpu'),
        ),
        count=fields.read_whole(step, 'count', 1, None),
        checkpointable=fields.read_flag(step, 'checkpoints'),
        program=image,
        after=_read_after(step, number),
        pool=queue.pool,
        label=fields.read_text(step, 'requires'),
        data_rack=fields.read_text(step, 'affinity'),
        most_per_vm=fields.read_whole(step, 'antiAffinity'),
        gang=fields.read_flag(step, 'gang'),
        same_rack=fields.read_flag(step, 'sameRack'),
        image=image,
        target_ms=fields.read_whole(step, 'target_ms'),
        fills=fields.read_flag(step, 'fills'),
        most_away=fields.read_whole(step, 'may_miss'),
        run_ms=fields.read_whole(step, 'estimateMs'),
        max_failures=queue.max_failures,
        ticket_ms=queue.ticket_ms,
    )


def _read_after(step, number):
    """Return the names of the steps before; on the wire their numbers."""
    after = fields.read_list(step, 'watchRev', int)
    if not all(0 <= one < number for one in after):
        raise ValueError(f'"watchRev" of step {number} names no earlier step')
    return [str(one) for one in after]


def _describe(job_id, field, text):
    return data.Problem(
        'bad-job', field, '', text, f'mend it and send {job_id} again'
    )
