"""The command line: roles to run, and commands for operators."""

import datetime
import logging
import pathlib
import sys
import types
import typing

import cyclopts
import result
import uvloop

from cranberryrill import logs, tasks, tracing
from cranberryrill.certificates import issuer
from cranberryrill.commands import config, keys, output, status, usage
from cranberryrill.commands import settings as settings_commands
from cranberryrill.programs import agent, control, entry, signals
from cranberryrill.replication import files
from cranberryrill.settings import loader

LOGGER = logging.getLogger(__name__)
APP = cyclopts.App(name='cranberryrill', help='Route language-model traffic.')
ROLE_PROGRAMS: types.MappingProxyType[str, type[typing.Any]] = (
    types.MappingProxyType(
        {
            'entry': entry.Entry,
            'agent': agent.Agent,
            'control': control.Control,
        }
    )
)


def _start(role: str, path: pathlib.Path) -> None:
    loaded = loader.read_file(path, settings_commands.SETTINGS_TYPES[role])
    if isinstance(loaded, result.Err):
        output.fail(loaded.err_value)
    settings = loaded.ok_value
    signals.unmask()
    log_handler = logs.configure(
        settings.process.log_level, settings.process.name
    )
    tracing.configure(settings.process.name, settings.process.trace)
    try:
        uvloop.run(_run(role, settings))
    except (OSError, files.StorageFailure) as error:
        sys.exit(f'cranberryrill: {role} can not start: {error}')
    except tasks.TaskFailed as error:
        sys.exit(f'cranberryrill: {role} stopped: {error}')
    finally:
        log_handler.flush_now()


async def _run(role: str, settings: typing.Any) -> None:
    await ROLE_PROGRAMS[role](settings).run()


@APP.command(name='entry')
def run_entry(settings: pathlib.Path) -> None:
    """Run an entry with the settings in this YAML file."""
    _start('entry', settings)


@APP.command(name='agent')
def run_agent(settings: pathlib.Path) -> None:
    """Run an agent with the settings in this YAML file."""
    _start('agent', settings)


@APP.command(name='control')
def run_control(settings: pathlib.Path) -> None:
    """Run a control member with the settings in this YAML file."""
    _start('control', settings)


APP.command(config.APP)
APP.command(keys.APP)
APP.command(settings_commands.APP)
APP.command(status.members)
APP.command(status.status)
APP.command(usage.usage)
TLS = cyclopts.App(name='tls', help='Create certificates.')
APP.command(TLS)


@TLS.command(name='make')
def make_tls(folder: pathlib.Path, *, address: tuple[str, ...] = ()) -> None:
    """Write a certificate for each role into this folder.

    Parameters
    ----------
    folder:
        An authority in this folder is kept; if there is none, it is created.
    address:
        IP address at which operators reach a control member. Repeat the
        option for several addresses.
    """
    now = datetime.datetime.now(datetime.UTC)
    try:
        issuer.write_certificates(folder, now, address)
    except (OSError, ValueError, issuer.UnusableAuthority) as error:
        output.fail(error)
    output.print_message(f'certificates are in {folder}')


def main() -> None:
    """Run the command line."""
    try:
        APP()
    except BrokenPipeError:
        # The reader closed the output early, as `head` does. Without
        # stdout, the interpreter doesn't try to flush it again at exit.
        sys.stdout = None


if __name__ == '__main__':
    main()
