"""Run one stand-in server: `python -m standins engine|desk|platform`."""

import asyncio
import pathlib
import signal
import typing

import cyclopts
from tornado import httpserver, web

from standins import desk, engine, engine_web, platform

APP = cyclopts.App(
    name='standins', help='Run a stand-in for an external system.'
)
HOST = '127.0.0.1'


async def _serve(application: web.Application, port: int) -> None:
    server = httpserver.HTTPServer(application)
    server.listen(port, HOST)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    server.stop()


@APP.command(name='engine')
def run_engine(
    port: int,
    *,
    settings: typing.Annotated[
        engine.EngineSettings,
        cyclopts.Parameter(name='*'),
    ],
) -> None:
    """Run a model engine that serves chat requests and engine orders."""
    asyncio.run(_run_engine(settings, port))


async def _run_engine(settings: engine.EngineSettings, port: int) -> None:
    model = engine.Engine(settings)
    engine_task = asyncio.create_task(model.run())
    await _serve(engine_web.application(model), port)
    engine_task.cancel()


@APP.command(name='desk')
def run_desk(
    port: int,
    *,
    delay_seconds: float = 0.02,
    ledger: pathlib.Path | None = None,
) -> None:
    """Run an order desk; `--ledger` names a file to keep its orders in."""
    order_desk = desk.Desk(delay_seconds, ledger)
    asyncio.run(_serve(desk.application(order_desk), port))


@APP.command(name='platform')
def run_platform(
    port: int,
    *,
    delay_seconds: float = 0,
    error_share: float = 0,
    lost_share: float = 0,
    seed: int = 0,
) -> None:
    """Run a platform that records upstream orders and usage reports."""
    settings = platform.ResponseSettings(
        delay_seconds, error_share, lost_share, seed
    )
    recorder = platform.Platform(settings)
    asyncio.run(_serve(platform.application(recorder), port))


APP()
