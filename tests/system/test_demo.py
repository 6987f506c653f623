"""Stop `bench.demo --serve` with SIGTERM, as an operator does."""

import json
import pathlib
import signal
import subprocess
import sys
import time

STOP_SECONDS = 15.0


def test_serving_demo_stops_on_sigterm(tmp_path: pathlib.Path) -> None:
    command = [sys.executable, '-m', 'bench.demo', '--serve']
    demo = subprocess.Popen(
        [*command, '--folder', str(tmp_path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert demo.stdout is not None
        lines = iter(demo.stdout.readline, '')
        serving = next(line for line in lines if line.startswith('{'))
        assert len(json.loads(serving)['entries']) == 2
        signalled_at = time.monotonic()
        demo.send_signal(signal.SIGTERM)
        assert demo.wait(STOP_SECONDS) == 0
        assert time.monotonic() - signalled_at < STOP_SECONDS
        control_log = (tmp_path / 'control-0.log').read_text()
        assert '"message": "stopping"' in control_log
    finally:
        demo.kill()
        demo.wait()
