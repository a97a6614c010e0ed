"""Run tasks for the life of the process, and report errors that no code handles."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.supervision.restarts import RestartDelay

__all__ = ["TaskSupervisor", "report_unhandled_errors"]

_log = get_log("supervision")


class TaskSupervisor:
    """Starts tasks that must not end, and starts them again if they do.

    Parameters
    ----------
    metrics : FleetMetrics
        Counts the restarts of each task.
    """

    def __init__(self, metrics: FleetMetrics) -> None:
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a coroutine function until `cancel`."""
        task = asyncio.create_task(self._run_forever(name, run), name=name)
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run_forever(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        delay = RestartDelay()
        while True:
            started = loop.time()
            error = await _run_once(run)
            ran_seconds = loop.time() - started
            delay = delay.after_run(ran_seconds)
            self._metrics.increment("task_restarts", task=name)
            _log.opt(exception=error).error(
                "task ended",
                task=name,
                ran_seconds=round(ran_seconds, 2),
                restart_seconds=delay.seconds,
            )
            await asyncio.sleep(delay.seconds)


async def _run_once(
    run: Callable[[], Coroutine[Any, Any, None]],
) -> BaseException | None:
    """Run a coroutine function; return the error that ended it, if one did."""
    try:
        await run()
    except asyncio.CancelledError as error:
        current = asyncio.current_task()
        if current is not None and current.cancelling():
            raise
        # something that it awaited was cancelled, not the task itself
        return error
    except Exception as error:
        return error
    return None


def report_unhandled_errors(
    loop: asyncio.AbstractEventLoop, metrics: FleetMetrics
) -> None:
    """Log and count the errors of callbacks and of tasks that nothing awaits."""

    def report(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        metrics.increment("unhandled_errors")
        _log.opt(exception=context.get("exception")).error(
            "unhandled error", detail=context.get("message", "")
        )

    loop.set_exception_handler(report)
