"""Tasks that run as long as their process."""

import asyncio

from firworks.events import log_exception

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 5.0
# A task that has run for this long starts again without a longer delay.
STABLE_S = 10.0


def start_task(name, run, recover=None):
    """Start a task that is started again after an unexpected exception.

    Args:
        name (str): Name of the task, for the log.
        run (callable): Coroutine function without arguments.
        recover (callable or None): Called without arguments before it is started again,
            to repair the state that the task has left.

    Returns:
        Task: Runs until it is cancelled, or `run` returns.
    """
    return asyncio.ensure_future(_keep_running(name, run, recover))


async def _keep_running(name, run, recover):
    loop, delay_s = asyncio.get_running_loop(), INITIAL_DELAY_S
    while True:
        started_s = loop.time()
        try:
            return await run()
        except Exception as error:  # a task that ends unseen leaves a stale process
            log_exception(name, error)
        if loop.time() - started_s >= STABLE_S:
            delay_s = INITIAL_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(MAX_DELAY_S, 2 * delay_s)
        if recover is not None:
            recover()
