# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tracks the least headroom that serving tasks had over the last seconds.

The load of serving tasks varies within seconds. A filling task that is placed
on a VM between two peaks of it hardly progresses once the next peak comes. The
least headroom of a period that is as long as a cycle of the load predicts the
pace over the task's whole run.

The headroom that a side reports is what its filling tasks of that moment
leave. What they took, by their presses, is added back in each report, and what
the present ones take is subtracted from the least of them.

The reports are kept in the owner's memory; a new owner starts without any.
"""

import collections
import dataclasses

# Serving load returns to its peak within about this time.
PERIOD_SECONDS = 10.0
# Less than this does not include a peak.
MIN_SPAN_SECONDS = 5.0
# Age of the last report from which the load may be another one.
MAX_AGE_SECONDS = 3.0
# Reports kept of one VM. Sides report once a second, and sometimes earlier.
_MAX_REPORTS = 32
# Filling images whose presses are kept of one VM and serving image.
_MAX_IMAGES = 64
# Relative change of a press from which earlier reports are computed again.
# Each observation changes presses by less.
_MIN_PRESS_CHANGE = 0.05


@dataclasses.dataclass(slots=True)
class _Report:
    """One report of a side.

    :param headrooms: headroom by serving image
    :param shares: share of the VM's processors in use by filling image
    :param unfilled: headroom without filling tasks by serving image
    """

    heard: float = 0.0
    headrooms: dict = dataclasses.field(default_factory=dict)
    shares: dict = dataclasses.field(default_factory=dict)
    unfilled: dict = dataclasses.field(default_factory=dict)


class _VmHistory:
    """The reports of one VM, and the least headrooms of them.

    :param origin: what the reports depend on; another one invalidates them
    """

    __slots__ = ('_presses', '_reports', 'least', 'origin')

    def __init__(self, origin):
        self.origin = origin
        # By serving image, without the effect of filling tasks.
        self.least = {}
        self._reports = collections.deque(maxlen=_MAX_REPORTS)
        # By serving image, the presses that its reports are computed with, by
        # filling image.
        self._presses = {}

    @property
    def heard(self):
        """When the last report came, or None."""
        return self._reports[-1].heard if self._reports else None

    def add(self, report, pairs):
        """Add a report, and compute the least headrooms again."""
        reports = self._reports
        reports.append(report)
        while report.heard - reports[0].heard > PERIOD_SECONDS:
            reports.popleft()
        self.least = {}
        self._presses = {
            serving: self._presses.get(serving, {})
            for serving in report.headrooms
        }
        for serving in report.headrooms:
            rows = [one for one in reports if serving in one.headrooms]
            self._compute(serving, rows, pairs)
            if report.heard - rows[0].heard >= MIN_SPAN_SECONDS:
                self.least[serving] = min(
                    one.unfilled[serving] for one in rows
                )

    def _compute(self, serving, rows, pairs):
        """Compute the headrooms without filling tasks that are not known.

        All are computed again if a press has changed: an estimate may change
        by several times within the period.

        :param rows: the reports on a serving image
        """
        presses = self._presses[serving]
        if len(presses) > _MAX_IMAGES or any(
            _has_changed(press, pairs.get_press(serving, image))
            for image, press in presses.items()
        ):
            presses.clear()
            todo = rows
        else:
            todo = [one for one in rows if serving not in one.unfilled]
        for one in todo:
            room = one.headrooms[serving]
            for image, share in one.shares.items():
                if image not in presses:
                    presses[image] = pairs.get_press(serving, image)
                room += presses[image] * share
            one.unfilled[serving] = room


def _has_changed(before, press):
    return abs(press - before) > _MIN_PRESS_CHANGE * before


class HeadroomTracker:
    """Tracks the least headrooms of all VMs of a shard."""

    def __init__(self):
        self._histories = {}

    def update(self, view, headrooms, heard, origin, now):
        """Take a VM's last report, and set the ``lasting`` of its view.

        :param view: a ``vmview.VmView`` with the filling tasks whose effect
            the report shows, and no others
        :param headrooms: list of ``messages.Headroom`` of the last report
        :param heard: when the last report came, or None
        :param origin: a value that changes when earlier reports do not count
            any more, as the VM is another one or its side has reconnected
        """
        name = view.vm.name
        history = self._histories.get(name)
        if heard is None or now - heard > MAX_AGE_SECONDS:
            self._histories.pop(name, None)
            return
        if history is None or history.origin != origin:
            history = self._histories[name] = _VmHistory(origin)
        if heard != history.heard:
            rooms = {one.serving: one.room for one in headrooms}
            report = _Report(heard, rooms, sum_shares(view))
            history.add(report, view.pairs)
        view.lasting = history.least

    def forget(self, names):
        """Drop the reports of all VMs but those named."""
        for name in self._histories.keys() - names:
            del self._histories[name]


def apply_lasting_headrooms(view):
    """Lower a view's headrooms to those that last.

    The view must not have other filling tasks than when its ``lasting`` was
    set. A serving image without reports keeps its current headroom.
    """
    shares = sum_shares(view)
    for serving, least in view.lasting.items():
        current = view.headrooms.get(serving)
        if current is not None:
            taken = sum(
                view.pairs.get_press(serving, image) * share
                for image, share in shares.items()
            )
            view.headrooms[serving] = min(current, least - taken)


def sum_shares(view):
    """Return the share of a VM's processors in use by filling image."""
    shares = collections.defaultdict(float)
    for task in view.fillings:
        shares[task.image] += task.share
    return dict(shares)
