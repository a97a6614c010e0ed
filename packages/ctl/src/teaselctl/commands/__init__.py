"""The commands of teaselctl by name."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from importlib import import_module
from typing import cast

from teaselctl.output import Output

__all__ = ["COMMANDS", "Command", "CommandNotFoundError", "get_command_by_name"]

Run = Callable[[list[str]], Awaitable[Output]]


@dataclass(frozen=True)
class Command:
    """A command with its help texts.

    Attributes
    ----------
    module : str
        Module with the function ``run(args)``.
    usage : str
        Arguments and flags.
    summary : str
        What it does, in one sentence.
    details : str
        Further explanation, may be empty.
    """

    module: str
    usage: str
    summary: str
    details: str = ""

    def load(self) -> Run:
        """Import the module and return its function ``run``."""
        return cast(Run, import_module(self.module).run)


COMMANDS: dict[str, Command] = {
    "check": Command(
        "teaselctl.commands.check",
        "check PATH...",
        "Check a document offline and list all its faults.",
        "PATH is a YAML file or a directory of them; together they must hold the "
        "whole document. Exit code 0: no fault, 1: faults, 2: used wrongly.",
    ),
    "show": Command(
        "teaselctl.commands.show",
        "show [VERSION] --router=HOST:PORT --key_file=FILE",
        "Print the document in force, or that of a version, as YAML.",
        "The first line names the version: give it as --base when you apply.",
    ),
    "diff": Command(
        "teaselctl.commands.diff",
        "diff PATH... | diff --base=N [--to=M]  --router=HOST:PORT --key_file=FILE",
        "Show what the files, or a version, would change.",
        "With files: against the version in force, or against --base. Without: "
        "from version --base to version --to, or to the one in force.",
    ),
    "apply": Command(
        "teaselctl.commands.apply",
        "apply PATH... --base=N [--section=A,B] [--note=WHY] "
        "--router=HOST:PORT --key_file=FILE",
        "Make the files the next version.",
        "--base is the version that you started from; `show`, `diff` and `history` "
        "print it. Changes that others made since stay in force. If they changed "
        "the same entries, nothing is applied and you see who changed what.",
    ),
    "history": Command(
        "teaselctl.commands.history",
        "history [--limit=N] --router=HOST:PORT --key_file=FILE",
        "List the latest versions with their authors.",
    ),
    "rollback": Command(
        "teaselctl.commands.rollback",
        "rollback --to=N --base=M --router=HOST:PORT --key_file=FILE",
        "Make the content of an older version the next version.",
        "--base is the version in force as you saw it last; if someone changed "
        "it since, nothing is rolled back.",
    ),
    "status": Command(
        "teaselctl.commands.status",
        "status [--seconds=S] --router=HOST:PORT --key_file=FILE",
        "Show routers, versions in force, services, shares and health.",
        "Reads the status twice, --seconds apart, to show what organisations receive.",
    ),
    "routers": Command(
        "teaselctl.commands.routers",
        "routers --router=HOST:PORT",
        "Show routers on the platform by zone, as one of them sees them.",
        "HOST:PORT is the router's port for other routers. Shows the version in "
        "force, the store's era and the age of the router's store cache.",
    ),
    "drain": Command(
        "teaselctl.commands.drain",
        "drain --router=HOST:PORT --key_file=FILE",
        "Take that router out of service without cutting requests.",
    ),
    "orders": Command(
        "teaselctl.commands.orders",
        "orders list [--organisation=O] [--state=S] | orders show ORGANISATION KEY "
        "| orders settle ORGANISATION KEY ran|not-run  "
        "--router=HOST:PORT --key_file=FILE",
        "List, show and settle orders.",
        "Settle an order only after you asked the service whether it ran.",
    ),
    "explain": Command(
        "teaselctl.commands.explain",
        "explain ID [FILE...]",
        "Show the lines of one request in the routers' logs, with related events.",
        "Reads JSON lines from the files, or from standard input. Lines that can't "
        "be read are counted. Exit code 0: found, 1: no line has this id.",
    ),
    "report": Command(
        "teaselctl.commands.report",
        "report burn [--html=FILE] [--organisation=O] [--service=S] "
        "--router=HOST:PORT --key_file=FILE",
        "Report on service-level burn over all routers.",
        "Routers that gave no answer are shown as missing. With --html it also "
        "writes a page with plots.",
    ),
}
"""Commands by name; a new command needs an entry here and a module."""


class CommandNotFoundError(LookupError):
    """No command has the given name."""


def get_command_by_name(name: str) -> Command:
    """Return the command with a name.

    Raises
    ------
    CommandNotFoundError
        If no command has that name.
    """
    found = COMMANDS.get(name)
    if found is None:
        raise CommandNotFoundError(name)
    return found
