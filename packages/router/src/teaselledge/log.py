"""Structured logs whose lines carry the name of a part of the software."""

import sys

import loguru

__all__ = ["get_log", "start_logging"]

PART_WIDTH = 10
TEXT_FORMAT = (
    "{time:HH:mm:ss.SSS} {level:<7} {extra[part]:<" + str(PART_WIDTH) + "} {message}"
)


def get_log(part: str) -> "loguru.Logger":
    """Return the log of a part; its lines carry the part's name."""
    return loguru.logger.bind(part=part)


def start_logging(json: bool, level: str = "INFO") -> None:
    """Configure logging to standard error.

    Parameters
    ----------
    json : bool
        Whether to write JSON objects, one per line, instead of text.
    level : str
        Minimum level to write.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "process"})
    # with diagnose, tracebacks would show the values of variables, such as keys
    loguru.logger.add(
        sys.stderr,
        format=TEXT_FORMAT,
        serialize=json,
        level=level,
        diagnose=False,
        backtrace=False,
    )
