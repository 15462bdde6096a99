# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An entry's HTTP interfaces for job clients and for the balancer."""

import dataclasses
import json
import logging
import math
import re
import threading

from portwharf.core import logs
from portwharf.core import web
from portwharf.entry import owner_client
from portwharf.platform import decoding
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs
from portwharf.scheduler import operations

LOG = logging.getLogger(__name__)

READINESS_PATH = '/portwharf/readiness'
MAX_BODY_BYTES = 1024 * 1024
# Limits of the time that a call waits for an owner and its answer: in seconds,
# and as a share of the client's deadline. The share leaves time for another
# attempt at another entry.
CALL_SECONDS = 2.0
DEADLINE_SHARE = 0.45
# Least time that a cancellation waits, however late it is. The owner carries
# it out in any case, and its client asks again until it is answered.
MIN_CANCEL_SECONDS = 0.3
# Deadline of calls whose client sends none.
DEFAULT_DEADLINE_MS = 3000
# Python refuses to convert texts of some thousand digits.
_MAX_DEADLINE_DIGITS = 15
# Time limit of the search for an owner. The call is then refused, and the
# client can try another entry.
FIND_OWNER_SECONDS = 0.5
# Wait that a refusal asks of the client; an owner is replaced within this
# time.
RETRY_AFTER_SECONDS = 1
# Maximum age of a cached count of pending jobs.
PENDING_MAX_AGE_SECONDS = 0.8
_JOB_ID = re.compile('[0-9a-fA-F]{16}')
_SHARD = 0
_TOO_MANY_REQUESTS = 429
_STATUSES = {
    owner_client.NO_ROOM: _TOO_MANY_REQUESTS,
    owner_client.NO_OWNER: 503,
    owner_client.NO_ANSWER: 504,
    owner_client.NOT_ACCEPTED: 503,
    owner_client.OUTCOME_UNKNOWN: 504,
    owner_client.UNKNOWN_ID: 410,
    # A client sends what got a 502 again, which would not help here.
    jobs.CODE_BAD_JOB: 400,
    operations.CODE_BAD_ARGUMENTS: 400,
}
_BAD_GATEWAY = 502
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class _PendingCount:
    """How many jobs of a queue were pending, and when the owner said so."""

    at: float = 0.0
    count: int = 0


class JobApi:
    """The WSGI application for the job calls of clients."""

    def __init__(self, calls, keeper, clock, leaving, zone=''):
        """Set up the application.

        :param calls: ``owner_client.OwnerClient``
        :param keeper: the ``configuration.ConfigKeeper``
        :param leaving: a ``graceful_shutdown.GracefulShutdown``; after a
            stop request every response closes its connection, so that the
            client moves on
        :param zone: availability zone of this entry
        """
        self._calls = calls
        self._keeper = keeper
        self._clock = clock
        self._shutdown = leaving
        self._zone = zone
        self._lock = threading.Lock()
        self._pending_counts = {}

    def __call__(self, environ, start_response):
        def respond(status, answer_headers):
            # A stop may be requested while a call is in progress.
            if self._shutdown.is_requested:
                answer_headers = [*answer_headers, ('Connection', 'close')]
            return start_response(status, answer_headers)

        with self._shutdown.track_call():
            is_cancellation = environ['REQUEST_METHOD'] == 'DELETE'
            if _read_time_limit(environ) <= 0 and not is_cancellation:
                return _refuse_late_call(environ, respond)
            return self._dispatch(environ, respond)

    def _dispatch(self, environ, respond):
        cfg = self._keeper.read()
        if not cfg.revision:
            return _respond_error(respond, 503, 'no configuration yet')
        host = environ.get('HTTP_HOST', '').partition(':')[0]
        path = environ.get('PATH_INFO', '')
        queue = decoding.find_queue(cfg, host, path)
        if queue is None:
            if environ['REQUEST_METHOD'] == 'DELETE':
                extra = logs.fields(
                    request=path.rpartition('/')[2],
                    status=404,
                    reason='no-queue',
                    revision=cfg.revision,
                )
                LOG.info('cancel answered', extra=extra)
            return _respond_error(respond, 404, 'no such queue')
        job_id = path[len(queue.prefix) :]
        method = environ['REQUEST_METHOD']
        if not job_id and method == 'GET':
            return self._count_pending(queue, environ, respond)
        if not _JOB_ID.fullmatch(job_id):
            return _respond_error(respond, 404, 'a job id has 16 hex digits')
        if method == 'POST':
            return self._submit(job_id, queue, environ, respond)
        if method == 'GET':
            return self._read_state(job_id, environ, respond)
        if method == 'DELETE':
            return self._cancel(job_id, queue, environ, respond)
        return _respond_error(respond, 400, 'use POST, GET or DELETE')

    def _submit(self, job_id, queue, environ, respond):
        try:
            size = web.read_length(environ)
        except ValueError as exc:
            return _respond_error(respond, 400, str(exc))
        if size > MAX_BODY_BYTES:
            return _respond_error(respond, 400, 'the body is too large')
        try:
            value = json.loads(environ['wsgi.input'].read(size))
        except (ValueError, RecursionError) as exc:
            return _respond_error(respond, 400, f'the body is not JSON: {exc}')
        parsed = decoding.parse_job(job_id, queue, value)
        if parsed.is_err():
            return _respond_error(respond, 400, parsed.err_value.describe())
        job = dataclasses.replace(
            parsed.ok_value,
            caller=environ.get('REMOTE_ADDR', ''),
            zone=self._zone,
        )
        submission = job_operations.JobSubmission(job)
        started = self._clock.read_monotonic()
        seconds = _read_time_limit(environ)
        answer = self._call(
            'submit-job', submission, operations.Accepted, seconds
        )
        status = _map_status(answer)
        self._log_answer('submit', job_id, queue, answer, started)
        if answer.is_err():
            return _respond_problem(respond, status, answer.err_value)
        return web.send_json(respond, 200, {})

    def _read_state(self, job_id, environ, respond):
        query = operations.Query(job_id)
        seconds = _read_time_limit(environ)
        answer = self._call('read-job', query, job_operations.JobView, seconds)
        if answer.is_err():
            return _respond_problem(
                respond, _map_status(answer), answer.err_value
            )
        if not answer.ok_value.state:
            return _respond_error(respond, 410, 'no such job')
        state = {'state': answer.ok_value.state}
        return web.send_json(respond, 200, state)

    def _cancel(self, job_id, queue, environ, respond):
        query = operations.Query(job_id)
        started = self._clock.read_monotonic()
        seconds = max(MIN_CANCEL_SECONDS, _read_time_limit(environ))
        answer = self._call('cancel-job', query, operations.Cancelled, seconds)
        status = _map_status(answer)
        self._log_answer('cancel', job_id, queue, answer, started)
        if answer.is_err():
            return _respond_problem(respond, status, answer.err_value)
        return web.send_json(respond, 200, {})

    def _log_answer(self, verb, job_id, queue, answer, started):
        """Log a call's status and the configuration revision.

        :param answer: the result of the call to the owner
        """
        took = self._clock.read_monotonic() - started
        extra = logs.fields(
            request=job_id,
            queue=queue.name,
            status=_map_status(answer),
            reason=None if answer.is_ok() else _find_code(answer.err_value),
            revision=self._keeper.read().revision,
            took_ms=int(took * _MS_PER_SECOND),
        )
        LOG.info('%s answered', verb, extra=extra)

    def _count_pending(self, queue, environ, respond):
        now = self._clock.read_monotonic()
        with self._lock:
            cached = self._pending_counts.get(queue.name)
        if cached is None or now - cached.at > PENDING_MAX_AGE_SECONDS:
            query = operations.Query(queue.name)
            answer = self._call(
                'count-pending',
                query,
                job_operations.Pending,
                _read_time_limit(environ),
            )
            if answer.is_err():
                status = _map_status(answer)
                return _respond_problem(respond, status, answer.err_value)
            cached = _PendingCount(now, answer.ok_value.count)
            with self._lock:
                self._pending_counts[queue.name] = cached
        return web.send_json(respond, 200, {'pending': cached.count})

    def _call(self, method, arguments, cls, seconds):
        seconds = self._shutdown.limit_seconds(seconds)
        return self._calls.call(
            _SHARD, method, arguments, cls, seconds, FIND_OWNER_SECONDS
        )


class ReadinessCheck:
    """The WSGI application for the balancer's readiness checks."""

    def __init__(self, is_ready):
        """Take a function that tells whether clients may be sent here."""
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        if environ.get('PATH_INFO', '') != READINESS_PATH:
            return web.send_text(start_response, 404, 'no such page\n')
        if self._is_ready():
            return web.send_text(start_response, 200, 'ready\n')
        return web.send_text(start_response, 503, 'not ready\n')


def _read_time_limit(environ):
    """Return for how many seconds a call may wait for its owner.

    The time that it has waited for a thread counts; the result is not
    positive if no time is left.
    """
    text = environ.get('HTTP_PORTWHARF_DEADLINE_MS', '')
    is_number = text.isdecimal() and len(text) <= _MAX_DEADLINE_DIGITS
    deadline_ms = int(text) if is_number else DEFAULT_DEADLINE_MS
    share = DEADLINE_SHARE * deadline_ms / _MS_PER_SECOND
    queued = environ.get(web.QUEUED_SECONDS, 0.0)
    return min(CALL_SECONDS, share) - queued


def _refuse_late_call(environ, respond):
    """Refuse a call whose client no longer waits for the owner's answer."""
    extra = logs.fields(
        request=environ.get('PATH_INFO', '').rpartition('/')[2],
        reason=environ['REQUEST_METHOD'],
        took_ms=int(environ.get(web.QUEUED_SECONDS, 0.0) * _MS_PER_SECOND),
    )
    LOG.info('late call refused', extra=extra)
    try:
        web.read_body(environ)
    except ValueError as exc:
        return _respond_error(respond, 400, str(exc))
    return _respond_error(respond, 503, 'too many calls')


def _map_status(answer):
    """Return the HTTP status for the result of a call to the owner."""
    if answer.is_ok():
        return 200
    return _STATUSES.get(_find_code(answer.err_value), _BAD_GATEWAY)


def _find_code(problems):
    """Return the code of the first problem of a call."""
    return problems[0].code if problems else owner_client.OUTCOME_UNKNOWN


def _respond_problem(respond, status, problems):
    """Respond to a call that has failed or has an unknown outcome."""
    text = problems[0].describe() if problems else 'no answer'
    is_short = status == _TOO_MANY_REQUESTS
    retry_ms = problems[0].retry_after_ms if is_short else 0
    retry_seconds = math.ceil(retry_ms / _MS_PER_SECOND)
    return _respond_error(respond, status, text, retry_seconds)


def _respond_error(respond, status, text, retry_seconds=0):
    """Respond with an error, and with when to retry if that may help."""
    headers = []
    if status in (503, 504):
        retry_seconds = RETRY_AFTER_SECONDS
    if retry_seconds > 0:
        headers.append(('Retry-After', str(retry_seconds)))

    def respond_with_headers(status_line, answer_headers):
        return respond(status_line, answer_headers + headers)

    return web.send_json(respond_with_headers, status, {'error': text})
