# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Waiting for a planned stop, which a signal asks for."""


def wait_until_asked(asked):
    """Wait in the main thread until a signal's handler has set an event."""
    asked.wait()
