"""A rack's runners crash again and again; the jobs there are given up."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins_2'))

import world  # noqa: E402

PERIOD_S = 3.0
DOWN_S = 1.0
CRASHES = 9
LATER_S = 14.0
STEPS = {
    'lasting': {'cpu': 3000, 'longRunning': True, 'ms': 500},
    'plain': {'cpu': 1800, 'ms': 5400},
}


def crash_rack(runners):
    def crash_one(runner):
        runner.crash()
        time.sleep(DOWN_S)
        runner.begin()

    threads = [
        threading.Thread(target=crash_one, args=(one,)) for one in runners
    ]
    for one in threads:
        one.start()
    for one in threads:
        one.join()


def main():
    with world.World(HERE) as deployment:
        record = deployment.record
        if not deployment.wait_until_served():
            return world.finish(record, 2, 'the deployment does not serve')
        texts, is_broken = [], False
        for name, step in STEPS.items():
            body = world.make_job([
                {'count': 3, 'memMb': 3200, 'requires': 'r-0', **step}
            ])
            job_id, status = deployment.submit(body)
            if status != 200:
                text = f'the {name} job was not accepted: {status}'
                return world.finish(record, 2, text)
            time.sleep(3)
            if len(deployment.list_runs(job_id)) < 3:
                return world.finish(record, 2, f'the {name} job does not begin')
            rack = [m.runner for m in deployment.sides[:3]]
            for _ in range(CRASHES):
                due = time.monotonic() + PERIOD_S
                if world.is_trouble():
                    crash_rack(rack)
                time.sleep(max(0.0, due - time.monotonic()))
            record('calm for some seconds')
            calm = record.now()
            while record.now() < calm + LATER_S:
                last = deployment.read_state(job_id)
                time.sleep(1)
            runs = deployment.list_runs(job_id)
            failed = sum(row['how'] == 'failed' for row in runs)
            running = sum(row['ended'] is None for row in runs)
            later = sum(row['began'] > calm for row in runs)
            texts.append(
                f'{name} job: state {last}, runs {len(runs)}, of them ended '
                f'failed {failed}, running now {running}, started in the '
                f'calm {later}'
            )
            is_broken |= last == (200, 'failed') and not failed
            if last == (200, 'running'):
                deployment.call('DELETE', deployment.prefix + job_id)
        return world.finish(record, int(is_broken), '; '.join(texts))


if __name__ == '__main__':
    sys.exit(main())
