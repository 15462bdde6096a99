# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Decodes the operators' configuration and the jobs of clients.

Some names on the wire differ from portwharf's: a ``route`` is a queue, its
``service`` a pool of workers, its ``maxAttempts`` the failures that a task
may have. In a job's step, ``watchRev`` is misleading: it lists the numbers of
the steps that must have succeeded before. ``requires`` is a label of the
worker, ``affinity`` the rack that holds the data, ``antiAffinity`` the most
tasks per VM.
"""

import result

from portwharf.core import data
from portwharf.core import json_input
from portwharf.platform import json_fields
from portwharf.platform import unreadable
from portwharf.scheduler import configuration
from portwharf.scheduler import jobs

CONFIG_KEY = 'op/config'
# Prefix of one key for each availability zone where nothing may be started.
ZONES_PREFIX = 'op/evacuate/'
MAX_SPEC_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS = 100_000
# A longer estimate, which is a rough guess, counts as this one: some decades.
MAX_ESTIMATE_MS = 10**12
_ROUTES = unreadable.UnreadableInput('route')


def parse_config(text, revision):
    """Decode the configuration.

    A route that cannot be read is left out, unless none can be.

    :param text: JSON, or '' for an empty configuration
    :returns: Ok(configuration.Configuration), or Err(list of Problems)
    """
    try:
        value = json_input.decode_object(text or '{}')
        routes = json_fields.read_list(value, 'routes', dict)
        queues, unread = _parse_queues(routes)
        if unread is not None and not queues:
            raise unread
    except json_input.DECODE_ERRORS as exc:
        problem = data.Problem(
            'bad-configuration',
            CONFIG_KEY,
            '',
            f'cannot be read: {exc!r}',
            'write the whole configuration again',
        )
        return result.Err([problem])
    # Sorted so that the longest matching prefix is found first.
    queues.sort(key=lambda queue: -len(queue.prefix))
    return result.Ok(
        configuration.Configuration(revision, text, queues=queues)
    )


def find_queue(cfg, host, path):
    """Return the ``configuration.Queue`` for a request, or None."""
    for queue in cfg.queues:
        if queue.host == host and path.startswith(queue.prefix):
            return queue
    return None


def parse_job(job_id, queue, value):
    """Decode a client's job and check it.

    :param value: the decoded JSON body
    :returns: Ok(data.Job), or Err(Problem)
    """
    try:
        job = _parse_job(job_id, queue, value)
    except json_input.DECODE_ERRORS as exc:
        return result.Err(_make_problem(job_id, '', f'cannot be read: {exc}'))
    if len(job.argument) > MAX_SPEC_BYTES:
        text = f'must be at most {MAX_SPEC_BYTES} bytes'
        return result.Err(_make_problem(job_id, 'spec', text))
    tasks = sum(step.count for step in job.steps)
    if len(job.steps) > MAX_STEPS or tasks > MAX_TASKS:
        text = f'must be at most {MAX_STEPS} with {MAX_TASKS} tasks in all'
        return result.Err(_make_problem(job_id, 'steps', text))
    problem = jobs.validate_job(job) or jobs.check_size(job)
    return result.Ok(job) if problem is None else result.Err(problem)


def _parse_queues(routes):
    """Return the queues of routes, and the last error, or None."""
    queues, unread = [], None
    for route in routes:
        try:
            queues.append(_parse_queue(route))
        except json_input.DECODE_ERRORS as exc:
            _ROUTES.record(exc, queue=ascii(route.get('name'))[:60])
            unread = exc
    return queues, unread


def _parse_queue(route):
    return configuration.Queue(
        json_fields.read_str(route, 'name', None),
        json_fields.read_str(route, 'host', None),
        json_fields.read_str(route, 'pathPrefix', None),
        json_fields.read_str(route, 'service', None),
        json_fields.read_int(route, 'priority'),
        json_fields.read_int(route, 'maxAttempts'),
        json_fields.read_float(route, 'stretch', 1.0),
        json_fields.read_int(route, 'targetLatencyMs'),
        json_fields.read_int(
            json_fields.read_dict(route, 'advice'), 'valid_ms'
        ),
    )


def _parse_job(job_id, queue, value):
    rows = json_fields.read_list(value, 'steps', dict, None)
    steps = [
        _parse_step(queue, step, number) for number, step in enumerate(rows)
    ]
    chains = jobs.compute_path_ms(steps)
    max_runs = json_fields.read_int(value, 'maxRuns')
    return data.Job(
        job_id,
        queue.name,
        queue.rank,
        json_fields.read_str(value, 'spec').encode(),
        steps,
        int(
            jobs.limit_objective_ms(
                queue.stretch * max(chains, default=0) + queue.allowance_ms
            )
        ),
        max_runs,
        json_fields.read_int(value, 'initialMs'),
        json_fields.read_int(value, 'intervalMs'),
        queue.stretch,
        queue.allowance_ms,
    )


def _parse_step(queue, step, number):
    """Return the ``data.Workload`` of a step.

    :param number: the step's index in the job
    """
    long_running = json_fields.read_bool(step, 'longRunning')
    image = json_fields.read_str(step, 'image')
    return data.Workload(
        kind=data.Kind.STANDING if long_running else data.Kind.BATCH,
        resources=data.Resources(
            json_fields.read_int(step, 'cpu'),
            json_fields.read_int(step, 'memMb'),
            json_fields.read_int(step, 'gpu'),
        ),
        count=json_fields.read_int(step, 'count', 1, None),
        checkpointable=json_fields.read_bool(step, 'checkpoints'),
        program=image,
        after=_parse_dependencies(step, number),
        pool=queue.pool,
        label=json_fields.read_str(step, 'requires'),
        data_rack=json_fields.read_str(step, 'affinity'),
        most_per_vm=json_fields.read_int(step, 'antiAffinity'),
        gang=json_fields.read_bool(step, 'gang'),
        same_rack=json_fields.read_bool(step, 'sameRack'),
        image=image,
        target_ms=json_fields.read_int(step, 'target_ms'),
        fills=json_fields.read_bool(step, 'fills'),
        most_away=json_fields.read_int(step, 'may_miss'),
        run_ms=min(json_fields.read_int(step, 'estimateMs'), MAX_ESTIMATE_MS),
        max_failures=queue.max_failures,
        ticket_ms=queue.ticket_ms,
    )


def _parse_dependencies(step, number):
    """Return the names of the steps that a step depends on, each once.

    A step's name is its index as text. On the wire, steps are numbers.
    """
    after = json_fields.read_list(step, 'watchRev', int)
    if not all(0 <= index < number for index in after):
        raise ValueError(f'"watchRev" of step {number}: not an earlier step')
    return [str(index) for index in dict.fromkeys(after)]


def _make_problem(job_id, field, text):
    return data.Problem(
        jobs.CODE_BAD_JOB, field, '', text, f'mend it and send {job_id} again'
    )
