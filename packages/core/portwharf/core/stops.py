# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Waiting for a planned stop, which a signal asks for.

The kernel may give a signal to any thread, as it does right after a pause.
Handlers run in the main thread, which is not woken by it, so that it must
not wait without a limit.
"""

import logging
import os
import threading

LOG = logging.getLogger(__name__)

# How late a stop may be heard; what a platform gives for it is seconds.
LOOK_SECONDS = 0.5


def wait_until_asked(asked):
    """Wait in the main thread until a signal's handler has set an event."""
    while not asked.wait(LOOK_SECONDS):
        continue


def end_within(seconds):
    """End this process after some seconds, if it has not ended by then.

    Whatever its end waits for may be silent; a process that outlives what
    it was given is killed with its last lines unprinted.
    """
    timer = threading.Timer(seconds, _end)
    timer.daemon = True
    timer.start()


def _end():
    LOG.error('process did not end by itself in time')
    os._exit(0)
