"""Stop the demonstration as an operator would."""

import json
import pathlib
import signal
import subprocess
import sys
import time

STOP_SECONDS = 15.0


def test_demo_that_serves_stops_at_a_signal(tmp_path: pathlib.Path) -> None:
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
        asked_at = time.monotonic()
        demo.send_signal(signal.SIGTERM)
        assert demo.wait(STOP_SECONDS) == 0
        assert time.monotonic() - asked_at < STOP_SECONDS
        stopped = (tmp_path / 'control-0.log').read_text()
        assert '"message": "stopping"' in stopped
    finally:
        demo.kill()
        demo.wait()
