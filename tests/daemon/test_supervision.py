"""Tests of the loops that a process depends on."""

import curio
import logbook

from agateshelf.daemon import supervision


def test_a_loop_runs_again_after_an_error_and_logs_it(virtual_run):
    runs = []

    async def loop(argument):
        runs.append(argument)
        if len(runs) < 3:
            raise ZeroDivisionError
        await curio.sleep(3600)

    async def body():
        task = await curio.spawn(
            supervision.keep_running, "timers", loop, 7, daemon=True
        )
        await curio.sleep(5.0)
        await task.cancel()

    with logbook.TestHandler() as log:
        virtual_run(body)
    assert runs == [7, 7, 7]
    assert len(log.records) == 2
    assert all("task of timers" in record.message for record in log.records)


def test_a_loop_that_fails_at_once_leaves_time_for_others(virtual_run):
    runs = []

    async def loop():
        runs.append(1)
        raise ZeroDivisionError

    async def body():
        task = await curio.spawn(
            supervision.keep_running, "timers", loop, daemon=True
        )
        await curio.sleep(1.0)
        await task.cancel()

    virtual_run(body)
    assert len(runs) <= 6
