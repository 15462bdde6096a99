# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Serves clients' job calls, and the balancer's question, at an entry."""

import dataclasses
import json
import logging
import re
import threading

from portwharf.core import logs
from portwharf.core import web
from portwharf.entry import owners
from portwharf.platform import routes
from portwharf.scheduler import job_operations
from portwharf.scheduler import operations

LOG = logging.getLogger(__name__)

READINESS_PATH = '/portwharf/readiness'
MAX_BODY_BYTES = 1024 * 1024
# How long a call waits for an owner to be there and to answer, at the most,
# and as a share of the time that its client gives: a call that is given up
# half way can be tried once more at another entry.
CALL_SECONDS = 2.0
CALL_SHARE = 0.45
# What clients give that do not say so.
DEADLINE_MS = 3000
# How long an owner is looked for before a call is refused: a quarter of the
# shortest objective is soon over, and a refusal can be tried elsewhere.
FIND_SECONDS = 0.5
# When to come back after a refusal: an owner is replaced within this.
RETRY_SECONDS = 1
# A count of waiting jobs may be this old.
PENDING_SECONDS = 0.8
_ID = re.compile('[0-9a-fA-F]{16}')
_SHARD = 0
_STATUSES = {
    owners.NOT_ACCEPTED: 503,
    owners.OUTCOME_UNKNOWN: 504,
    owners.UNKNOWN_ID: 410,
}
_BAD_GATEWAY = 502
_MS = 1000


@dataclasses.dataclass(slots=True)
class _Counted:
    """How many jobs of a queue waited, and when that was asked."""

    at: float = 0.0
    count: int = 0


class JobCalls:
    """The WSGI application that clients call."""

    def __init__(self, calls, keeper, clock, leaving):
        """Take ``owners.OwnerCalls``, configuration and clock.

        :param leaving: a ``leaving.Leaving``; once a stop is asked for,
            each answer tells its client to go elsewhere
        """
        self._calls = calls
        self._keeper = keeper
        self._clock = clock
        self._leaving = leaving
        self._lock = threading.Lock()
        self._pending = {}

    def __call__(self, environ, start_response):
        def respond(status, answer_headers):
            # A stop may be asked for while a call is carried out.
            if self._leaving.is_asked:
                answer_headers = [*answer_headers, ('Connection', 'close')]
            return start_response(status, answer_headers)

        with self._leaving.carry_out():
            return self._answer(environ, respond)

    def _answer(self, environ, respond):
        cfg = self._keeper.read()
        if not cfg.revision:
            return _refuse(respond, 503, 'no configuration yet')
        host = environ.get('HTTP_HOST', '').partition(':')[0]
        path = environ.get('PATH_INFO', '')
        queue = routes.find_queue(cfg, host, path)
        if queue is None:
            return _refuse(respond, 404, 'no such queue')
        job_id = path[len(queue.prefix) :]
        method = environ['REQUEST_METHOD']
        if not job_id and method == 'GET':
            return self._count(queue, environ, respond)
        if not _ID.fullmatch(job_id):
            return _refuse(respond, 404, 'an id has 16 hex digits')
        if method == 'POST':
            return self._submit(job_id, queue, environ, respond)
        if method == 'GET':
            return self._show(job_id, environ, respond)
        if method == 'DELETE':
            return self._cancel(job_id, queue, environ, respond)
        return _refuse(respond, 400, 'use POST, GET or DELETE')

    def _submit(self, job_id, queue, environ, respond):
        size = int(environ.get('CONTENT_LENGTH') or 0)
        if size > MAX_BODY_BYTES:
            return _refuse(respond, 400, 'the body is too large')
        try:
            value = json.loads(environ['wsgi.input'].read(size))
        except (ValueError, RecursionError) as exc:
            return _refuse(respond, 400, f'the body is not JSON: {exc}')
        read = routes.read_job(job_id, queue, value)
        if read.is_err():
            return _refuse(respond, 400, read.err_value.describe())
        call = job_operations.JobSubmission(read.ok_value)
        began = self._clock.read_monotonic()
        seconds = _read_patience(environ)
        answer = self._call('submit-job', call, operations.Accepted, seconds)
        status = _find_status(answer)
        self._log('submit', job_id, queue, status, began)
        if answer.is_err():
            return _fail(respond, status, answer.err_value)
        return web.answer_json(respond, 200, {})

    def _show(self, job_id, environ, respond):
        query = operations.Query(job_id)
        seconds = _read_patience(environ)
        answer = self._call('read-job', query, job_operations.JobView, seconds)
        if answer.is_err():
            return _fail(respond, _find_status(answer), answer.err_value)
        if not answer.ok_value.state:
            return _refuse(respond, 410, 'no such job')
        state = {'state': answer.ok_value.state}
        return web.answer_json(respond, 200, state)

    def _cancel(self, job_id, queue, environ, respond):
        query = operations.Query(job_id)
        began = self._clock.read_monotonic()
        seconds = _read_patience(environ)
        answer = self._call('cancel-job', query, operations.Cancelled, seconds)
        status = _find_status(answer)
        self._log('cancel', job_id, queue, status, began)
        if answer.is_err():
            return _fail(respond, status, answer.err_value)
        return web.answer_json(respond, 200, {})

    def _log(self, verb, job_id, queue, status, began):
        """Log what a client was told, and by which configuration."""
        took = self._clock.read_monotonic() - began
        extra = logs.fields(
            request=job_id,
            queue=queue.name,
            status=status,
            revision=self._keeper.read().revision,
            took_ms=int(took * _MS),
        )
        LOG.info('%s answered', verb, extra=extra)

    def _count(self, queue, environ, respond):
        now = self._clock.read_monotonic()
        with self._lock:
            known = self._pending.get(queue.name)
        if known is None or now - known.at > PENDING_SECONDS:
            query = operations.Query(queue.name)
            answer = self._call(
                'count-pending',
                query,
                job_operations.Pending,
                _read_patience(environ),
            )
            if answer.is_err():
                status = _find_status(answer)
                return _fail(respond, status, answer.err_value)
            known = _Counted(now, answer.ok_value.count)
            with self._lock:
                self._pending[queue.name] = known
        return web.answer_json(respond, 200, {'pending': known.count})

    def _call(self, method, arguments, cls, seconds):
        seconds = self._leaving.limit(seconds)
        return self._calls.call(
            _SHARD, method, arguments, cls, seconds, FIND_SECONDS
        )


class Readiness:
    """The WSGI application that the balancer asks."""

    def __init__(self, is_ready):
        """Take a function that tells whether clients should come here."""
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        if environ.get('PATH_INFO', '') != READINESS_PATH:
            return web.answer_text(start_response, 404, 'no such page\n')
        if self._is_ready():
            return web.answer_text(start_response, 200, 'ready\n')
        return web.answer_text(start_response, 503, 'not ready\n')


def _read_patience(environ):
    """Return for how many seconds a client's call may be tried."""
    text = environ.get('HTTP_PORTWHARF_DEADLINE_MS', '')
    deadline_ms = int(text) if text.isdigit() else DEADLINE_MS
    return min(CALL_SECONDS, CALL_SHARE * deadline_ms / _MS)


def _find_status(answer):
    """Return the status that tells what became of a call."""
    if answer.is_ok():
        return 200
    problems = answer.err_value
    code = problems[0].code if problems else owners.OUTCOME_UNKNOWN
    return _STATUSES.get(code, _BAD_GATEWAY)


def _fail(respond, status, problems):
    """Answer a call that was not carried out, or may not have been."""
    text = problems[0].describe() if problems else 'no answer'
    return _refuse(respond, status, text)


def _refuse(respond, status, text):
    headers = []
    if status in (503, 504):
        headers.append(('Retry-After', str(RETRY_SECONDS)))

    def respond_later(line, answer_headers):
        return respond(line, answer_headers + headers)

    return web.answer_json(respond_later, status, {'error': text})
