"""The router's command line."""

import asyncio
import signal
import sys
from pathlib import Path

from absl import app, flags

from teaselledge.log import start_logging
from teaselledge.process import settings as settings_module
from teaselledge.process.router import Router

__all__ = ["run"]

EXIT_BAD_SETTINGS = 2

_SETTINGS = flags.DEFINE_string("settings", None, "YAML file with the settings.")
_LOG_JSON = flags.DEFINE_bool(
    "log_json", False, "Write logs as one JSON object per line."
)
_LOG_LEVEL = flags.DEFINE_enum(
    "log_level", "INFO", ["DEBUG", "INFO", "WARNING", "ERROR"], "Minimum log level."
)


async def serve(settings: settings_module.Settings) -> int:
    """Run a router until its shutdown, and return the exit code.

    The first SIGTERM or SIGINT starts a graceful shutdown; the second ends it.
    """
    router = Router.from_config(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, router.drain.signal)
    router.listen()
    await router.start()
    code = await router.drain.wait()
    await router.stop()
    return int(code)


def main(argv: list[str]) -> int:
    """Load the settings and run the router."""
    if len(argv) > 1 or _SETTINGS.value is None:
        print("usage: teaselledge --settings FILE", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    start_logging(_LOG_JSON.value, _LOG_LEVEL.value)
    loaded = settings_module.load(Path(_SETTINGS.value))
    if loaded.is_error():
        for issue in loaded.error:
            print(issue, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return asyncio.run(serve(loaded.ok))


def run() -> None:
    """Entry point of the command."""
    app.run(main)


if __name__ == "__main__":
    run()
