# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The metrics of an entry, for Prometheus."""

import prometheus_client

from portwharf.core import data

_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)

REQUESTS = prometheus_client.Counter(
    'portwharf_requests',
    'Requests of callers, by outcome.',
    ['service', 'outcome'],
)
REQUEST_SECONDS = prometheus_client.Histogram(
    'portwharf_request_seconds',
    'Time from a request to its outcome.',
    ['service'],
    buckets=_BUCKETS,
)


def observe_request(service, outcome, seconds):
    """Count one request of a caller."""
    name = data.Outcome(outcome).name.lower()
    REQUESTS.labels(service, name).inc()
    REQUEST_SECONDS.labels(service).observe(seconds)
