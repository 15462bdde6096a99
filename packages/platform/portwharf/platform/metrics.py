# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Metrics of messages from the platform's other programs."""

import prometheus_client

UNREADABLE = prometheus_client.Counter(
    'portwharf_unreadable',
    'What could not be read and was passed over, by what it was.',
    ['kind'],
)
