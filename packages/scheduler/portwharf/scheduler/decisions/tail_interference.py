# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Estimates how much each filling image slows each serving image on its VM.

A "press" is the coefficient of this model for one pair of images: the
logarithm of a serving task's tail latency grows by the press times the share
of the VM's processors that the filling image's tasks use. The model is fitted
to the differences between two measurements half a second apart: they show the
effect of filling tasks that started, ended or changed pace between the two,
while the slower variation of the serving task's own load hardly shows.

Sides send their observations to the owner, which learns from all of them and
sends the presses back to all sides, as images behave alike everywhere and a
single VM sees too few changes. There is one Kalman filter for each serving
image; its covariance separates the effects of images that started together,
and gives the deviation of each press.
"""

import math

from portwharf.peers import messages

# Prior of a press, and its standard deviation. It lies between the presses of
# light filling images and the heaviest that were measured.
PRIOR_PRESS = 2.5
PRIOR_DEVIATION = 4.0
MAX_PRESS = 40.0
# Headroom of a serving image until its tail has been measured, as growth of
# the logarithm of its tail.
DEFAULT_HEADROOM = 0.4
# Standard deviation of an observed growth: load varies between measurements,
# and tails are reported in whole milliseconds.
_NOISE_DEVIATION = 0.15
# Variance added to a press with each observation of its image, as presses
# change within seconds.
_DRIFT_VARIANCE = 0.02
# Cautious press used for pacing: this factor times the press, as it may grow
# by half within a second, before it is measured again, plus this share of its
# deviation.
SHIFT_FACTOR = 1.5
_DEVIATION_FACTOR = 0.25
# A pair with a larger deviation counts as unknown.
_MAX_KNOWN_DEVIATION = PRIOR_DEVIATION / 2
# Smaller changes of the share of processors show too little.
MIN_DIFFERENCE = 0.02


class _KalmanFilter:
    """Estimates of the presses of all filling images on one serving image."""

    def __init__(self):
        self.images = []
        self.presses = []
        self._covariance = []

    def add(self, image):
        """Add a filling image, unless it is known, with its prior."""
        if image in self.images:
            return
        for row in self._covariance:
            row.append(0.0)
        self.images.append(image)
        self.presses.append(PRIOR_PRESS)
        self._covariance.append([0.0] * len(self.images))
        self._covariance[-1][-1] = PRIOR_DEVIATION**2

    def replace(self, image, press, deviation):
        """Replace what is known of a filling image."""
        self.add(image)
        number = self.images.index(image)
        self.presses[number] = press
        for row in self._covariance:
            row[number] = 0.0
        self._covariance[number] = [0.0] * len(self.images)
        self._covariance[number][number] = deviation**2

    def get_deviation(self, number):
        """Return the standard deviation of a press.

        :param number: index of the filling image
        """
        return math.sqrt(max(0.0, self._covariance[number][number]))

    def observe(self, differences, growth):
        """Update the presses with one observation.

        :param differences: map of filling image to the change of the share
            of processors that it uses
        :param growth: growth of the logarithm of the serving image's tail
        """
        for image in differences:
            self.add(image)
        shares = [differences.get(image, 0.0) for image in self.images]
        size = len(shares)
        spread = [
            sum(row[j] * shares[j] for j in range(size))
            for row in self._covariance
        ]
        variance = sum(s * d for s, d in zip(spread, shares, strict=True))
        variance += _NOISE_DEVIATION**2
        expected = sum(
            p * d for p, d in zip(self.presses, shares, strict=True)
        )
        gain = [s / variance for s in spread]
        error = growth - expected
        for i in range(size):
            press = self.presses[i] + gain[i] * error
            self.presses[i] = min(MAX_PRESS, max(0.0, press))
            for j in range(size):
                self._covariance[i][j] -= gain[i] * spread[j]
            if shares[i]:
                self._covariance[i][i] += _DRIFT_VARIANCE


class TailInterferenceModel:
    """The presses of all known pairs of a serving and a filling image."""

    def __init__(self):
        self._filters = {}
        self._estimates = {}

    def get_press(self, serving, filling):
        """Return the estimated press of a pair."""
        known = self._estimates.get((serving, filling))
        return known.press if known is not None else PRIOR_PRESS

    def is_known(self, serving, filling):
        """Return whether the press of a pair rests on measurements."""
        known = self._estimates.get((serving, filling))
        return known is not None and known.deviation <= _MAX_KNOWN_DEVIATION

    def get_upper_bound(self, serving, filling):
        """Return the press of a pair plus its deviation, for placement."""
        known = self._estimates.get((serving, filling))
        if known is None:
            return PRIOR_PRESS + PRIOR_DEVIATION
        return known.press + known.deviation

    def get_pacing_press(self, serving, filling):
        """Return the cautious press of a pair, for pacing.

        It allows for growth since the last measurement, and for uncertainty.
        """
        known = self._estimates.get((serving, filling))
        if known is None:
            return PRIOR_PRESS + _DEVIATION_FACTOR * PRIOR_DEVIATION
        return SHIFT_FACTOR * known.press + _DEVIATION_FACTOR * known.deviation

    def add_observation(self, observed):
        """Update the presses with a ``messages.PressObserved``."""
        differences = {
            change.image: change.share
            for change in observed.differences
            if change.share
        }
        square = sum(share**2 for share in differences.values())
        if square < MIN_DIFFERENCE**2:
            return
        name = observed.serving
        model = self._filters.setdefault(name, _KalmanFilter())
        model.observe(differences, observed.growth)
        for number, image in enumerate(model.images):
            self._estimates[(name, image)] = messages.Press(
                name, image, model.presses[number], model.get_deviation(number)
            )

    def add_unknown(self, estimates):
        """Start from a former owner's presses, as a side received them.

        Pairs that are known already keep their own estimates.

        :param estimates: list of ``messages.Press``
        """
        for known in estimates:
            name = (known.serving, known.filling)
            own = self._estimates.get(name)
            if own is not None and own.deviation <= max(
                _MAX_KNOWN_DEVIATION, known.deviation
            ):
                continue
            model = self._filters.setdefault(known.serving, _KalmanFilter())
            model.replace(known.filling, known.press, known.deviation)
            self._estimates[name] = known

    def replace_estimates(self, estimates):
        """Replace estimates by those that the owner has sent.

        :param estimates: list of ``messages.Press``
        """
        for known in estimates:
            self._estimates[(known.serving, known.filling)] = known

    def list_all(self):
        """Return all estimates, as a list of ``messages.Press``."""
        return list(self._estimates.values())
