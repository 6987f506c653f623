"""A SIGHUP that arrives while a role is still starting."""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from bench import fleet

START_SECONDS = 20.0


def test_reload_during_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    system = fleet.Fleet(tmp_path, random.Random())
    vm = system.entries[0]
    settings = vm.settings(
        tmp_path,
        system.base_port,
        ['127.0.0.1:1'],
        founds=False,
        outside='',
    )
    path = tmp_path / 'settings'
    os.mkfifo(path)
    log = tmp_path / 'log'
    with log.open('wb') as stream:
        process = subprocess.Popen(
            [sys.executable, str(fleet.ROOT / 'platform' / 'run.py'), 'entry'],
            stdout=stream,
            stderr=stream,
            env={**os.environ, 'CRANBERRYRILL_BOOT': str(path)},
        )
    try:
        # Opening the pipe returns once the process opens its settings.
        with path.open('w') as settings_pipe:
            process.send_signal(signal.SIGHUP)
            settings_pipe.write(json.dumps(settings))
        deadline = time.monotonic() + START_SECONDS
        while '"starting"' not in log.read_text():
            assert process.poll() is None, log.read_text()
            assert time.monotonic() < deadline
            time.sleep(0.05)
    finally:
        process.kill()
        process.wait()
