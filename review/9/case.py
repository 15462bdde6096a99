"""A sound job is shown as ``failed`` after runners have crashed.

Five of eight runners crash, one after the other, once each. No run of the
job's task ever ends ``failed``.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import world  # noqa: E402

JOB = '5c0e7a21d94b36f8'
TASK = f'{JOB}.0.0.0'
STEPS = [{'count': 1, 'cpu': 2000, 'memMb': 512, 'estimateMs': 12000}]
CRASHES = 5
# How long a run has been at work when its runner crashes, and how long that
# runner is down.
AT_WORK_SECONDS = 1.5
DOWN_SECONDS = 1.5
LIMIT_SECONDS = 80
ENDED = ('completed', 'failed', 'cancelled', 'unknown')


def play(site, trouble):
    if not site.submit('plan', JOB, STEPS, 'work=12'):
        raise world.CannotRun('the job was not accepted')
    crashed = []
    end = time.monotonic() + LIMIT_SECONDS
    state = ''
    while time.monotonic() < end and state not in ENDED:
        run = site.find_run(TASK)
        if (
            trouble
            and len(crashed) < CRASHES
            and run
            and run[2] >= AT_WORK_SECONDS
        ):
            crashed.append(run[0])
            site.runners[run[0]].crash()
            time.sleep(DOWN_SECONDS)
            site.runners[run[0]].restart()
        time.sleep(0.05)
        state = site.read_state('plan', JOB)
    site.record(f'GET plan {JOB}: {state}')
    failed = [
        row for name in site.runners for row in site.runners[name].failed_ends
    ]
    site.record(f'crashed: {crashed}; runs that ended failed: {failed}')
    if state == 'failed' and not failed:
        return f'LOST: {JOB} is shown as failed; no run of it ended failed'
    if state == 'unknown':
        return f'LOST: {JOB} is not known'
    if state != 'completed':
        raise world.CannotRun(f'the job was {state!r} at the end')
    return ''


world.run_case(play, HERE / 'record.txt', sides=8, fronts=2)
