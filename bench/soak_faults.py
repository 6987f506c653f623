"""Harm a fleet's programs, links, clocks and disks, from outside."""

import asyncio
import collections
import random
import signal
import time

from bench import fleet, unreliable

PAUSE = (0.2, 1.2)
SECONDS = (0.5, 3.0)
CLOCK_SECONDS = (-40.0, 40.0)
# Faults that overlap.
LOOPS = 2
# A member that lost its disk must vote again before the next one may.
READMISSION_SECONDS = 20.0
READMISSION_PERIOD = 0.2
ADMITTED = '"change of voters"'


class Faults:
    """Choose and play faults; several may overlap."""

    def __init__(
        self,
        running: fleet.Fleet,
        rng: random.Random,
        counted: collections.Counter[str],
    ) -> None:
        self.fleet = running
        self.rng = rng
        self.counted = counted
        self.replica_links: list[unreliable.Link] = []
        self.peer_links: dict[str, unreliable.Link] = {}
        # Until when a VM's own behaviour proves nothing, monotonic.
        self.harmed_until: dict[str, float] = {}
        self.busy: set[str] = set()
        self.may_wipe = True
        self.exits: list[str] = []

    async def run(self, seconds: float) -> None:
        """Play faults for a while."""
        ends_at = time.monotonic() + seconds
        await asyncio.gather(*(self._loop(ends_at) for _ in range(LOOPS)))
        for vm in (*self.fleet.members, *self.fleet.entries):
            self._restart(vm)

    def is_harmed(self, vm: fleet.Vm, since: float) -> bool:
        """Say whether a VM was harmed at or after a moment."""
        if vm.name in self.busy:
            return True
        return self.harmed_until.get(vm.name, 0) > since

    async def _loop(self, ends_at: float) -> None:
        kinds = (
            self._kill,
            self._stop,
            self._insist,
            self._reload,
            self._freeze,
            self._wipe,
            self._clock,
            self._disk,
            self._full_start,
            self._replica_link,
            self._peer_link,
        )
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(*PAUSE))
            fault = self.rng.choice(kinds)
            vm = self._choose()
            self.busy.add(vm.name)
            self.counted[fault.__name__.strip('_')] += 1
            await fault(vm)
            self.busy.discard(vm.name)
            self.harmed_until[vm.name] = time.monotonic()

    def _choose(self) -> fleet.Vm:
        vms = [*self.fleet.members, *self.fleet.entries]
        return self.rng.choice([vm for vm in vms if vm.name not in self.busy])

    def _restart(self, vm: fleet.Vm) -> None:
        """Start a program anew that a reload met before its first line."""
        process = self.fleet.running[vm.name]
        if process.is_running():
            return
        code = process.wait()
        if code != -signal.SIGHUP:
            self.exits.append(f'{vm.name} ended by itself with {code}')
        self.fleet.start(vm)

    async def _kill(self, vm: fleet.Vm) -> None:
        self.fleet.running[vm.name].kill()
        self.fleet.start(vm)

    async def _stop(self, vm: fleet.Vm) -> None:
        process = self.fleet.running[vm.name]
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        self.fleet.start(vm)

    async def _insist(self, vm: fleet.Vm) -> None:
        """Send signals that overlap: reload, freeze, stop, stop again."""
        process = self.fleet.running[vm.name]
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP):
            process.send(number)
            await asyncio.sleep(self.rng.random() * 0.2)
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        self.fleet.start(vm)

    async def _reload(self, vm: fleet.Vm) -> None:
        for _ in range(3):
            self.fleet.running[vm.name].send(signal.SIGHUP)

    async def _freeze(self, vm: fleet.Vm) -> None:
        process = self.fleet.running[vm.name]
        process.send(signal.SIGSTOP)
        await self._last()
        process.send(signal.SIGCONT)

    async def _wipe(self, vm: fleet.Vm) -> None:
        if vm.role != 'control' or not self.may_wipe:
            return
        self.may_wipe = False
        self.fleet.running[vm.name].kill()
        self.fleet.wipe(vm)
        known = self._count_admissions(vm)
        self.fleet.start(vm)
        ends_at = time.monotonic() + READMISSION_SECONDS
        while time.monotonic() < ends_at:
            await asyncio.sleep(READMISSION_PERIOD)
            if self._count_admissions(vm) > known:
                self.may_wipe = True
                return

    async def _clock(self, vm: fleet.Vm) -> None:
        shift = self.rng.uniform(*CLOCK_SECONDS)
        path = self.fleet.faults(vm) / 'clock'
        path.write_text(str(shift))
        await self._last()
        path.unlink()

    async def _disk(self, vm: fleet.Vm) -> None:
        path = self.fleet.faults(vm) / self.rng.choice(('full', 'slow'))
        path.touch()
        await self._last()
        path.unlink()

    async def _full_start(self, vm: fleet.Vm) -> None:
        """Start a program on a full disk, which is emptied later."""
        path = self.fleet.faults(vm) / 'full'
        self.fleet.running[vm.name].kill()
        path.touch()
        self.fleet.start(vm)
        await self._last()
        path.unlink()

    async def _replica_link(self, vm: fleet.Vm) -> None:
        await self._harm(self.rng.choice(self.replica_links))

    async def _peer_link(self, vm: fleet.Vm) -> None:
        await self._harm(self.peer_links[vm.name])

    async def _harm(self, link: unreliable.Link) -> None:
        link.harm = self.rng.choice(list(unreliable.Harm))
        await self._last()
        link.harm = unreliable.Harm.none

    async def _last(self) -> None:
        await asyncio.sleep(self.rng.uniform(*SECONDS))

    def _count_admissions(self, vm: fleet.Vm) -> int:
        """Count how often a member got its vote, by the members' logs."""
        lines = [
            line
            for member in self.fleet.members
            for line in self.fleet.log(member).splitlines()
            if ADMITTED in line
        ]
        mine = f'"peer": "{vm.host}"'
        return sum(
            mine in line and '"admit"' in line and '"ok"' in line
            for line in lines
        )
