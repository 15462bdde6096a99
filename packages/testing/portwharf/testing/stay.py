# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts a local deployment and keeps it running until interrupted."""

import signal
import sys
import tempfile
import threading

from portwharf.testing import launcher


def main():
    """Run the deployment file that the first argument names."""
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    with tempfile.TemporaryDirectory(prefix='portwharf-') as folder:
        with launcher.Deployment(sys.argv[1], folder) as deployment:
            print(f'entries: {",".join(deployment.entries)}')
            print(f'settings and logs: {folder}')
            print('Ctrl-C ends it', flush=True)
            stop_requested.wait()


if __name__ == '__main__':
    main()
