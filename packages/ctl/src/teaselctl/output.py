"""Results of commands, their exit codes and their formatting."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["FAULTY", "OK", "USAGE", "CommandError", "Output", "table"]

OK = 0
FAULTY = 1
"""Exit code: the document has faults, or the routers refused the request."""

USAGE = 2
"""Exit code: wrong usage, or no router responded."""


class CommandError(Exception):
    """A usage error or an external failure; printed without a traceback.

    Parameters
    ----------
    message : str
        Message to print.
    code : int
        Exit code.
    value : object
        Value to print as JSON with ``--json``.
    """

    def __init__(self, message: str, code: int = USAGE, value: Any = None) -> None:
        super().__init__(message)
        self.code = code
        self.value = value if value is not None else {"error": message}


@dataclass(frozen=True)
class Output:
    """The result of a command.

    Attributes
    ----------
    value : object
        Value that ``--json`` prints.
    text : str
        Text that is printed without ``--json``.
    code : int
        Exit code.
    """

    value: Any
    text: str
    code: int = OK


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def table(columns: Sequence[str], rows: Iterable[Mapping[str, Any]]) -> str:
    """Return rows as aligned columns under a header line."""
    cells = [[_format_cell(row.get(name)) for name in columns] for row in rows]
    if not cells:
        return "(none)"
    headers = [name.replace("_", " ").upper() for name in columns]
    lines = [headers, *cells]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
