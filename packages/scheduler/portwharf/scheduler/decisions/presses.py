# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How much what fills a VM slows what serves on it, pair by pair.

For a serving image and a filling image the logarithm of the server's tail
grows by ``press`` times the share of the VM's processors that the filling
tasks use. The load of a server swings by itself, but slowly: so differences
between two measurements half a second apart are learnt from, in which what
began, ended or was paced between them shows and the load hardly does.

Sides send what they observed to their owner, who learns from all of it and
tells all sides: the images are the same everywhere, and one VM alone sees
too few changes. A Kalman filter for each serving image tells apart what
began at the same moment, and how sure it is of each press.
"""

import math

from portwharf.peers import messages

# What a press is taken for before anything is known of it, and how far off
# that may be: between the light ones and the heaviest that were measured.
PRIOR_PRESS = 2.5
PRIOR_DEVIATION = 4.0
MAX_PRESS = 40.0
# What a server is taken to bear until its tail has been measured: growth of
# the logarithm of its tail.
FRESH_ROOM = 0.4
# Noise of a difference: half a second of swinging load, and tails that are
# told in whole milliseconds.
_NOISE_DEVIATION = 0.15
# Presses change within seconds by some amount; variance by observation.
_DRIFT_VARIANCE = 0.02
# How far a press may shift before it is measured again, and how much of the
# deviation counts when work is paced.
_SHIFT = 1.5
_DOUBT = 0.25
# Differences of processors smaller than this share say too little.
LEAST_DIFFERENCE = 0.02


class _Filter:
    """What is known of the presses on one serving image."""

    def __init__(self):
        self.images = []
        self.presses = []
        self._covariance = []

    def add(self, image, press=PRIOR_PRESS, deviation=PRIOR_DEVIATION):
        """Begin to reckon with a filling image."""
        if image in self.images:
            return
        for row in self._covariance:
            row.append(0.0)
        self.images.append(image)
        self.presses.append(press)
        self._covariance.append([0.0] * len(self.images))
        self._covariance[-1][-1] = deviation**2

    def measure(self, number):
        """Return how far off the press of an image may be."""
        return math.sqrt(max(0.0, self._covariance[number][number]))

    def observe(self, differences, growth):
        """Learn from one observation.

        :param differences: map of filling image to a share of processors
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


class Presses:
    """The presses of all pairs, as far as they are known."""

    def __init__(self):
        self._filters = {}
        self._told = {}

    def find(self, serving, filling):
        """Return the press of a pair, the best that is known."""
        told = self._told.get((serving, filling))
        return told.press if told is not None else PRIOR_PRESS

    def find_upper(self, serving, filling):
        """Return what a pair's press is taken for when it matters."""
        told = self._told.get((serving, filling))
        if told is None:
            return PRIOR_PRESS + PRIOR_DEVIATION
        return told.press + told.deviation

    def find_cautious(self, serving, filling):
        """Return what a pair's press is paced by.

        A press may grow by half within a second, and what is not known yet
        may be heavy.
        """
        told = self._told.get((serving, filling))
        if told is None:
            return PRIOR_PRESS + _DOUBT * PRIOR_DEVIATION
        return _SHIFT * told.press + _DOUBT * told.deviation

    def learn(self, observed):
        """Learn from a ``messages.PressObserved``."""
        differences = {
            one.image: one.share for one in observed.differences if one.share
        }
        square = sum(share**2 for share in differences.values())
        if square < LEAST_DIFFERENCE**2:
            return
        name = observed.serving
        known = self._filters.setdefault(name, _Filter())
        known.observe(differences, observed.growth)
        for number, image in enumerate(known.images):
            self._told[(name, image)] = messages.Press(
                name, image, known.presses[number], known.measure(number)
            )

    def adopt(self, told):
        """Begin with what a former owner has learnt, as a side was told.

        What has been learnt here already goes first.
        """
        for one in told:
            name = (one.serving, one.filling)
            if name in self._told:
                continue
            known = self._filters.setdefault(one.serving, _Filter())
            known.add(one.filling, one.press, one.deviation)
            self._told[name] = one

    def take_told(self, told):
        """Take what somebody else has learnt."""
        for one in told:
            self._told[(one.serving, one.filling)] = one

    def list_all(self):
        """Return all that is known, as ``messages.Press``."""
        return list(self._told.values())
