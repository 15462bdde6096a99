# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Health, readiness and metrics pages."""

import urllib3

from portwharf.core import web
from portwharf.testing import fixtures


def get(port, path):
    """Return status and text of a page."""
    answer = urllib3.request('GET', f'http://127.0.0.1:{port}{path}')
    return answer.status, answer.data.decode()


def test_pages_tell_health_readiness_and_metrics(case):
    ready = []
    port = fixtures.serve(case, web.Pages(lambda: bool(ready)))
    case.assertEqual(get(port, '/healthz')[0], 200)
    case.assertEqual(get(port, '/readyz')[0], 503)
    ready.append(True)
    case.assertEqual(get(port, '/readyz')[0], 200)
    case.assertIn('process_cpu_seconds', get(port, '/metrics')[1])
    case.assertEqual(get(port, '/else')[0], 404)
