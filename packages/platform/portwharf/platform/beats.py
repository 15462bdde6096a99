# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Takes the heartbeats of the runner beside a side."""

import json
import logging

from portwharf.core import data
from portwharf.core import logs
from portwharf.core import web
from portwharf.platform import fields
from portwharf.platform import metrics
from portwharf import workers

LOG = logging.getLogger(__name__)

READY = 'ready'
DRAINING = 'draining'
_STATES = (READY, DRAINING)
PREFIX = '/portwharf/instances/'
MAX_BODY_BYTES = 64 * 1024
# Of a reason that is told, in characters.
MAX_REASON = 200


class Beats:
    """The WSGI application that the runner calls."""

    def __init__(self, take_life):
        """Take a function of a :class:`workers.Life`."""
        self._take_life = take_life
        # Why the last heartbeat was refused, or None.
        self._refused = None

    def __call__(self, environ, start_response):
        path = environ.get('PATH_INFO', '')
        instance, _, verb = path.removeprefix(PREFIX).rpartition('/')
        if not path.startswith(PREFIX) or not instance:
            return web.answer_text(start_response, 404, 'no such page\n')
        if verb == 'deregister':
            return web.answer_json(start_response, 200, {})
        if verb != 'heartbeat':
            return web.answer_text(start_response, 404, 'no such page\n')
        try:
            size = int(environ.get('CONTENT_LENGTH') or 0)
            raw = environ['wsgi.input'].read(min(size, MAX_BODY_BYTES))
            life = read_life(instance, json.loads(raw))
        except (ValueError, AttributeError, RecursionError) as exc:
            return self._refuse(start_response, instance, exc)
        self._refused = None
        self._take_life(life)
        return web.answer_json(start_response, 200, {})

    def _refuse(self, start_response, instance, exc):
        """Refuse what cannot be read; a row of the same is logged once."""
        metrics.UNREADABLE.labels('heartbeat').inc()
        reason = f'{exc}'[:MAX_REASON]
        if reason != self._refused:
            self._refused = reason
            extra = logs.fields(life=instance, reason=reason)
            LOG.warning('heartbeat refused', extra=extra)
        text = f'not a heartbeat: {reason}; send its fields as JSON\n'
        return web.answer_text(start_response, 400, text)


def read_birth(value):
    """Return when a runner says that it began; 0 if it does not.

    Everything that it says of itself, and of what it runs, has ``born``.

    :raises ValueError: it is no whole number
    """
    return fields.read_whole(value, 'born')


def read_life(instance, value):
    """Return the ``workers.Life`` of a heartbeat's body.

    :raises ValueError: a field is missing, of another type or unknown
    """
    room = fields.read_map(value, 'capacity')
    # A runner's labels are its kind and its rack, in this order.
    labels = fields.read_list(value, 'labels', str)
    state = fields.read_text(value, 'state', READY)
    if state not in _STATES:
        raise ValueError(f'"state" is {state!r:.40}, not one of {_STATES}')
    return workers.Life(
        data.LifeId(instance, read_birth(value)),
        fields.read_text(value, 'service', None),
        fields.read_text(value, 'zone'),
        data.Resources(
            fields.read_whole(room, 'cpu'),
            fields.read_whole(room, 'memMb'),
            fields.read_whole(room, 'gpu'),
        ),
        labels,
        labels[1] if len(labels) > 1 else '',
        state == DRAINING,
        fields.read_whole(value, 'remainingMs'),
        fields.read_whole(value, 'seq'),
    )
