"""Tasks wait for as long as side machines are replaced in turn, as planned.

Six of eight side machines are replaced, one every 6 s: an empty one begins at
another address, then the shard's owner gets SIGTERM and does not come back.
What ran on the first of them is begun again only when that has ended.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import world  # noqa: E402

COUNT = 8
REPLACED = 6
GAP_SECONDS = 6.0
NEW_FIRST_SECONDS = 2.0
# A lasting task on each machine, so that the first owner has one too.
JOB = '5c0e7a21d94b36f8'
STEPS = [
    {
        'count': COUNT,
        'cpu': 1000,
        'memMb': 256,
        'estimateMs': 400,
        'longRunning': True,
        'antiAffinity': 1,
    }
]
# RULES, LOST: each task that lasts, from 6 s after its last run, for 3 s.
LIMIT_SECONDS = 9.0
WATCH_SECONDS = 25


def play(site, trouble):
    if not site.submit('watch', JOB, STEPS, 'work=0'):
        raise world.CannotRun('the job was not accepted')
    tasks = [f'{JOB}.0.0.{number}' for number in range(COUNT)]
    if not world.wait_until(lambda: all(map(site.find_run, tasks)), 10):
        raise world.CannotRun('not all tasks have begun')
    time.sleep(4.0)
    now = time.monotonic()
    seen = dict.fromkeys(tasks, now)
    idle = dict.fromkeys(tasks, 0.0)

    def watch(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for task in tasks:
                if site.find_run(task) or task in leaving_tasks():
                    seen[task] = time.monotonic()
                idle[task] = max(idle[task], time.monotonic() - seen[task])
            time.sleep(0.05)

    leaving = []

    def leaving_tasks():
        return {
            task
            for one in leaving
            if one.up
            for task in one.list_running()
        }

    for _ in range(REPLACED):
        if trouble:
            site.add_side()
        watch(NEW_FIRST_SECONDS)
        owner = site.find_owner()
        if trouble and owner:
            leaving.append(site.runners[owner])
            site.retire_side(owner)
        watch(GAP_SECONDS - NEW_FIRST_SECONDS)
    site.record('the last machine has been replaced')
    watch(WATCH_SECONDS)
    found = {task: round(idle[task], 1) for task in tasks}
    site.record(f'longest time that each task did not run: {found}')
    broken = {t: s for t, s in found.items() if s > LIMIT_SECONDS}
    if broken:
        return f'LOST: lasting tasks that did not run, for seconds: {broken}'
    return ''


world.run_case(play, HERE / 'record.txt', sides=COUNT, fronts=2)
