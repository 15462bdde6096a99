# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Takes the heartbeats of the runner beside a side."""

import json

from portwharf.core import data
from portwharf.core import web
from portwharf import workers

PREFIX = '/portwharf/instances/'
MAX_BODY_BYTES = 64 * 1024


class Beats:
    """The WSGI application that the runner calls."""

    def __init__(self, take_life):
        """Take a function of a :class:`workers.Life`."""
        self._take_life = take_life

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
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            text = f'not a heartbeat: {exc}; send its fields as JSON\n'
            return web.answer_text(start_response, 400, text)
        self._take_life(life)
        return web.answer_json(start_response, 200, {})


def read_birth(value):
    """Return when a runner says that it began; 0 if it does not.

    Everything that it says of itself, and of what it runs, has ``born``.
    """
    born_ms = value.get('born', 0)
    if not isinstance(born_ms, int) or isinstance(born_ms, bool):
        raise ValueError(f'"born" is {born_ms!r} and not a whole number')
    return born_ms


def read_life(instance, value):
    """Return the ``workers.Life`` of a heartbeat's body."""
    size = value.get('capacity', {})
    # A runner's labels are its kind and its rack, in this order.
    labels = list(value.get('labels', []))
    return workers.Life(
        data.LifeId(instance, read_birth(value)),
        value['service'],
        value.get('zone', ''),
        data.Resources(
            size.get('cpu', 0), size.get('memMb', 0), size.get('gpu', 0)
        ),
        labels,
        labels[1] if len(labels) > 1 else '',
        value.get('state') == 'draining',
        int(value.get('remainingMs', 0)),
        int(value.get('seq', 0)),
    )
