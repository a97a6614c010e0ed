"""Entry point of teaselctl."""

import asyncio
import json
import sys
from collections.abc import Sequence

import loguru
from absl import flags

from teaselctl.commands import COMMANDS, CommandNotFoundError, get_command_by_name
from teaselctl.options import FLAGS
from teaselctl.output import USAGE, CommandError, Output

__all__ = ["main", "run"]


def program_help() -> str:
    """Return the help text of the program."""
    width = max(len(name) for name in COMMANDS)
    lines = [
        "teaselctl drives a fleet of routers.",
        "",
        "usage: teaselctl COMMAND [ARGUMENTS] [--flag=value]",
        "",
    ]
    lines += [f"  {n.ljust(width)}  {c.summary}" for n, c in COMMANDS.items()]
    lines += ["", "`teaselctl help COMMAND` tells more. --json prints JSON."]
    return "\n".join(lines)


def command_help(name: str) -> str:
    """Return the help text of a command."""
    command = get_command_by_name(name)
    lines = [command.summary, "", f"usage: teaselctl {command.usage}"]
    if command.details:
        lines += ["", command.details]
    return "\n".join(lines)


def _parse(argv: Sequence[str]) -> list[str]:
    FLAGS.unparse_flags()
    for name in list(FLAGS):
        FLAGS[name].unparse()
    return FLAGS(argv)[1:]


def _execute(args: list[str]) -> Output:
    if not args:
        return Output({"error": "no command"}, program_help(), USAGE)
    if args[0] == "help":
        text = command_help(args[1]) if args[1:] else program_help()
        return Output({"help": text}, text)
    command = get_command_by_name(args[0])
    return asyncio.run(command.load()(args[1:]))  # type: ignore[arg-type]


def main(argv: Sequence[str]) -> int:
    """Run a command and return the exit code."""
    if {"--help", "-h", "--helpshort", "--helpfull"} & set(argv):
        named = [arg for arg in argv[1:] if arg in COMMANDS]
        print(command_help(named[0]) if named else program_help())
        return 0
    as_json = False
    try:
        args = _parse(argv)
        as_json = FLAGS.json
        output = _execute(args)
    except flags.Error as error:
        return _print_error(CommandError(str(error)), as_json)
    except CommandNotFoundError as error:
        known = ", ".join(COMMANDS)
        message = f"no command {error.args[0]!r}; there are {known}"
        return _print_error(CommandError(message), as_json)
    except CommandError as error:
        return _print_error(error, as_json)
    except KeyboardInterrupt:
        return USAGE
    print(json.dumps(output.value, indent=2) if as_json else output.text)
    return output.code


def _print_error(error: CommandError, as_json: bool) -> int:
    if as_json:
        print(json.dumps(error.value, indent=2))
    print(f"teaselctl: {error}", file=sys.stderr)
    return error.code


def run() -> None:
    """Run the program with the arguments of the process, and exit."""
    loguru.logger.remove()
    try:
        code = main(sys.argv)
        sys.stdout.flush()
    except BrokenPipeError:
        # the reader, such as a pager, has closed the pipe; without this, the
        # interpreter prints a traceback when it flushes stdout at exit
        sys.stderr.close()
        code = USAGE
    sys.exit(code)


if __name__ == "__main__":
    run()
