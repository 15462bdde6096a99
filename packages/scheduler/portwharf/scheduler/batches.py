# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The input and the output of one pass of an owner's deciding thread.

Items wait in the owner's inbox for a pass. A batch holds the events that a
pass has produced, and the actions to run before and after they are logged.
"""

import dataclasses
import enum
import math

from portwharf.scheduler import events


@dataclasses.dataclass(slots=True)
class ReportsItem:
    """A side's task reports, to be processed by the next pass.

    :param link: the link to the side
    :param message: the ``messages.Reports`` that it sent
    :param connection: the number of the link's connection that they came on
    """

    link: object = None
    message: object = None
    connection: int = 0


@dataclasses.dataclass(slots=True)
class MeasurementsItem:
    """A side's measurements of its services, for the next pass."""

    vm: str = ''
    measures: list = None


@dataclasses.dataclass(slots=True)
class OperatorCall:
    """An operator's call that changes state, for the next pass.

    :param fut: the future that gets the answer
    :param deadline: until when the caller waits, by the owner's monotonic
        clock in seconds; the call is not begun later
    """

    fut: object = None
    method: str = ''
    arguments: object = None
    deadline: float = math.inf


class Batch:
    """The events of one pass, and the actions around logging them.

    ``events`` holds the events that are not logged yet, ``before_commit`` and
    ``after_commit`` the functions to call before and after they are logged.
    ``refusals`` holds the ``events.Decision`` of each job that was refused.
    """

    def __init__(self):
        self.events = []
        self.refusals = []
        self.before_commit = []
        self.after_commit = []

    def list_prepared(self):
        """Return (task, attempt) of each preparation that is not logged yet.

        :returns: a set
        """
        return {
            (event.task, event.attempt)
            for event in self.events
            if isinstance(event, events.TaskPrepared)
        }

    def send_before_commit(self, link, message):
        """Send a message that needs only events that are logged already."""
        if link is not None:
            self.before_commit.append(_make_send(link, message))

    def send(self, link, message):
        """Send a message after the events are logged."""
        if link is not None:
            self.after_commit.append(_make_send(link, message))

    def answer(self, fut, value):
        """Answer an operator after the events are logged."""
        self.after_commit.append(lambda: fut.set_result(value))


class StepResult(enum.Enum):
    """The result of one step of the deciding thread."""

    DONE = 1
    # The store has not confirmed the append; the next step retries it.
    STALLED = 2
    DEPOSED = 3


def _make_send(link, message):
    """Return a function that sends a message on the present connection.

    After it the side may have restarted and forgotten what it has refused,
    while these reports wait for the next pass. What is lost is sent again
    after the full report.
    """
    connection = link.view.connection
    return lambda: link.send_on(connection, message)
