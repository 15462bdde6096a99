# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Graceful shutdown of a process that a signal requests.

The kernel may deliver a signal to any thread, as it does right after the
process is resumed. Python runs the handler in the main thread, which the
signal does not wake, so the main thread must not wait without a timeout.
"""

import logging
import threading

from portwharf.core import logs

LOG = logging.getLogger(__name__)

# The longest time by which a shutdown request may be noticed late; the
# platform's grace period is several seconds.
POLL_INTERVAL_SECONDS = 0.5


def wait_for_stop_request(stop_requested):
    """Wait in the main thread until a signal handler has set an event."""
    while not stop_requested.wait(POLL_INTERVAL_SECONDS):
        continue


def exit_after(seconds):
    """Exit the process after some seconds unless it has exited before.

    Shutdown may wait for a peer that does not respond. If the platform had
    to kill the process, its last log lines would be lost.
    """
    timer = threading.Timer(seconds, _exit)
    timer.daemon = True
    timer.start()


def _exit():
    LOG.error('shutdown timed out, exiting')
    logs.exit_process(0)
