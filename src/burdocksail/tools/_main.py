"""The ``burdocksail`` command.

Every flag can also be set by an environment variable named ``BURDOCKSAIL_``, the
command and the flag, such as ``BURDOCKSAIL_SERVE_HOST``. An invalid setting is
reported in one line that names the flag, with exit status 2.
"""

import asyncio
import json
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any

import typer

from burdocksail.core import BurdocksailError, seconds
from burdocksail.intake import derive_limits
from burdocksail.shell import InstanceProcess, InstanceSettings, configure_logging
from burdocksail.standin import StandInGroup, StandInGroupSettings, StoreServer
from burdocksail.tools._demo import run_demo
from burdocksail.tools._errors import CommandError, SettingError
from burdocksail.tools._experiment import run_experiment
from burdocksail.tools._explain import ask_instance, print_explanation
from burdocksail.tools._fetch import fetch_json
from burdocksail.tools._load import LoadSettings, run_load
from burdocksail.tools._records import apply_record, check_record, list_records
from burdocksail.tools._settings import (
    check_amount,
    check_host,
    check_port,
    check_url,
    parse_limits,
    parse_seeds,
    read_key,
)

PLOT_SUFFIXES = (".png", ".svg", ".pdf")
OWN_MEMORY_MB = 88  # measured: 80 without callers; the rest is for larger fleets
EXIT_FAILURE = 1
EXIT_USAGE = 2
ENVIRONMENT_PREFIX = "BURDOCKSAIL"
# The base class of all usage errors; typer does not export it under a name.
UsageError = typer.BadParameter.__base__

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A database proxy with session consistency.",
)
record_app = typer.Typer(no_args_is_help=True, help="Operators' records.")
standin_app = typer.Typer(no_args_is_help=True, help="Stand-ins for the platform.")
app.add_typer(record_app, name="record")
app.add_typer(standin_app, name="standin")

StoreUrl = Annotated[
    str, typer.Option(help="Base URL of the platform's store, by IP address.")
]
Host = Annotated[str, typer.Option(help="IP address to listen on.")]


@app.command()
def serve(
    name: Annotated[str, typer.Option(help="Name of the instance.")],
    failure_domain: Annotated[str, typer.Option(help="Failure domain it runs in.")],
    store_url: StoreUrl,
    host: Host = "127.0.0.1",
    sql_port: Annotated[int, typer.Option(help="Port for callers.")] = 3306,
    peer_port: Annotated[int, typer.Option(help="Port for other instances.")] = 7306,
    admin_port: Annotated[int, typer.Option(help="Port for operators.")] = 8306,
    shared_key: Annotated[str, typer.Option(help="Key of the platform.")] = "",
    shared_key_file: Annotated[
        Path | None, typer.Option(help="File that holds the key.")
    ] = None,
    seeds: Annotated[
        str, typer.Option(help="Instances as name@domain=host:port, by commas.")
    ] = "",
    log_level: Annotated[
        str, typer.Option(help="debug, info, warning, error.")
    ] = "info",
    memory_mb: Annotated[
        float, typer.Option(help="Memory of the process in MiB; 0 if not known.")
    ] = 0.0,
    max_fds: Annotated[
        int, typer.Option(help="Open descriptors; 0 for the limit of the system.")
    ] = 0,
    caller_limits: Annotated[
        str, typer.Option(help="Limits on callers as NAME=VALUE, by commas.")
    ] = "",
) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop it gracefully."""
    settings = InstanceSettings(
        name=name,
        failure_domain=failure_domain,
        host=check_host("--host", host),
        sql_port=check_port("--sql-port", sql_port),
        peer_port=check_port("--peer-port", peer_port),
        admin_port=check_port("--admin-port", admin_port),
        store_url=check_url("--store-url", store_url),
        shared_key=read_key("--shared-key", shared_key, shared_key_file),
        seeds=parse_seeds("--seeds", seeds),
        limits=parse_limits(
            "--caller-limits",
            caller_limits,
            derive_limits(
                check_amount("--memory-mb", memory_mb) or None,
                int(check_amount("--max-fds", max_fds)) or None,
                OWN_MEMORY_MB,
            ),
        ),
    )
    if log_level not in ("debug", "info", "warning", "error"):
        raise SettingError("--log-level", f"{log_level!r} is not a log level")
    configure_logging(name, failure_domain, log_level)
    asyncio.run(_serve(settings))


@app.command()
def dump(address: Annotated[str, typer.Argument(help="host:admin-port")]) -> None:
    """Print the live state of an instance as JSON."""
    state = asyncio.run(fetch_json(f"http://{address}/dump"))
    typer.echo(json.dumps(state, indent=2))


@app.command()
def explain(
    address: Annotated[
        str, typer.Argument(help="host:port of the page that shows the dump.")
    ],
    database: Annotated[str, typer.Argument(help="Database of the request.")],
    statement: Annotated[str, typer.Argument(help="Statement; it is not sent.")],
    workspace: Annotated[
        str,
        typer.Option(help="Name of the workspace, or of the MySQL account; no key."),
    ] = "",
    position: Annotated[
        str, typer.Option(help="Position of the session's last commit, TERM.SEQUENCE.")
    ] = "",
    position_age_s: Annotated[
        float, typer.Option(help="Seconds since that commit.")
    ] = 0.0,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print the answer as JSON.")
    ] = False,
) -> None:
    """Show where a request would go now and why, without sending it."""
    parameters = {
        "database": database,
        "statement": statement,
        "workspace": workspace,
        "position": position,
        "position_age_s": str(position_age_s),
    }
    answer = asyncio.run(ask_instance(address, parameters))
    if json_output:
        typer.echo(json.dumps(answer, indent=2))
    else:
        print_explanation(answer)


@app.command()
def demo() -> None:
    """Demonstrate the main claims with stand-ins in this process."""
    configure_logging("demo", "local", "error")
    if not asyncio.run(run_demo()):
        raise typer.Exit(EXIT_FAILURE)


@app.command()
def load(
    addresses: Annotated[str, typer.Option(help="host:port of instances, by commas.")],
    account: Annotated[str, typer.Option(help="Account of the callers.")],
    password: Annotated[str, typer.Option(help="Password of the account.")],
    database: Annotated[str, typer.Option(help="Database to use.")],
    connections: Annotated[int, typer.Option(help="Callers at once.")] = 16,
    duration_s: Annotated[float, typer.Option(help="Length in seconds.")] = 10.0,
    write_share: Annotated[float, typer.Option(help="Share of writes, 0 to 1.")] = 0.2,
) -> None:
    """Load instances with short statements and print a latency table."""
    if connections < 1:
        raise SettingError("--connections", "must be at least 1")
    if not 0 <= write_share <= 1:
        raise SettingError("--write-share", "must be between 0 and 1")
    settings = LoadSettings(
        tuple(addresses.split(",")),
        account,
        password,
        database,
        connections,
        duration_s,
        write_share,
    )
    asyncio.run(run_load(settings))


@app.command()
def experiment(
    patterns: Annotated[
        list[Path], typer.Argument(help="Load patterns: files, or packaged names.")
    ],
    seeds: Annotated[int, typer.Option(help="Plays of each pattern.")] = 4,
    plot: Annotated[
        Path | None, typer.Option(help="Image to plot the first seed to.")
    ] = None,
) -> None:
    """Play load patterns in virtual time and print what became of the requests.

    Two patterns are plotted side by side. Plots need matplotlib.
    """
    if seeds < 1:
        raise SettingError("--seeds", "must be at least 1")
    if plot is not None and plot.suffix not in PLOT_SUFFIXES:
        raise SettingError("--plot", f"must end in one of {', '.join(PLOT_SUFFIXES)}")
    run_experiment(patterns, seeds, plot)


@record_app.command("check")
def record_check(path: Annotated[Path, typer.Argument(help="JSON file.")]) -> None:
    """Check a record's fields without the store."""
    typer.echo(check_record(_read_text(path)))


@record_app.command("apply")
def record_apply(
    path: Annotated[Path, typer.Argument(help="JSON file.")],
    store_url: StoreUrl,
    expected_version: Annotated[
        int, typer.Option(help="Version that was read; -1 for the present one.")
    ] = -1,
    wait_s: Annotated[float, typer.Option(help="Wait for the verdict.")] = 10.0,
) -> None:
    """Write a record and wait until it is accepted or refused."""
    check_url("--store-url", store_url)
    text = _read_text(path)
    typer.echo(asyncio.run(apply_record(store_url, text, expected_version, wait_s)))


@record_app.command("list")
def record_list(store_url: StoreUrl) -> None:
    """List the records with their versions and verdicts."""
    check_url("--store-url", store_url)
    for line in asyncio.run(list_records(store_url)):
        typer.echo(line)


@standin_app.command("store")
def standin_store(
    host: Host = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port for HTTP.")] = 8500,
) -> None:
    """Run a stand-in of the platform's store."""
    check_host("--host", host)

    async def start() -> None:
        bound_port = await StoreServer().start(host, check_port("--port", port))
        typer.echo(f"store on {host}:{bound_port}")

    asyncio.run(_run_until_signal(start()))


@standin_app.command("group")
def standin_group(
    name: Annotated[str, typer.Option(help="Name of the group.")],
    host: Host = "127.0.0.1",
    first_port: Annotated[int, typer.Option(help="Port of the first server.")] = 33060,
    domains: Annotated[
        str, typer.Option(help="Failure domain of each server, by commas.")
    ] = "a,b,c",
    lag_ms: Annotated[int, typer.Option(help="Replication lag.")] = 50,
    slots: Annotated[int, typer.Option(help="Statements at once.")] = 3,
    connections: Annotated[int, typer.Option(help="Connection limit.")] = 20,
) -> None:
    """Run a stand-in database group."""
    check_host("--host", host)
    names = tuple(domains.split(","))
    ports = [check_port("--first-port", first_port + i) for i in range(len(names))]
    settings = StandInGroupSettings(seconds(lag_ms / 1000), slots, connections)

    async def start() -> None:
        for server in await StandInGroup(name, names).start(host, ports, settings):
            typer.echo(f"{server.name} on {server.host}:{server.port}")

    asyncio.run(_run_until_signal(start()))


def main() -> None:
    """Run the command line and exit with its status.

    The status is 2 for an invalid setting or wrong usage, 1 for a command that
    failed, and 0 otherwise.
    """
    try:
        status = app(standalone_mode=False, auto_envvar_prefix=ENVIRONMENT_PREFIX)
    except typer.Exit as stop:
        status = stop.exit_code
    except typer.Abort:
        status = EXIT_FAILURE
    except UsageError as error:
        typer.echo(f"error: {' '.join(error.format_message().split())}", err=True)
        status = EXIT_USAGE
    except SettingError as error:
        typer.echo(f"error: {error}", err=True)
        status = EXIT_USAGE
    except (BurdocksailError, OSError) as error:
        typer.echo(f"error: {error}", err=True)
        status = EXIT_FAILURE
    sys.exit(status if isinstance(status, int) else 0)


def _read_text(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}") from error


async def _serve(settings: InstanceSettings) -> None:
    process = InstanceProcess(settings)
    await process.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.request_stop)
    await process.wait_until_stopped()


async def _run_until_signal(start: Coroutine[Any, Any, None]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await start
    await stop.wait()
