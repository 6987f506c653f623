"""List, issue and withdraw keys."""

import hashlib

from cranberryrill.administration import base_handler, refusals, requests
from cranberryrill.keys import digests
from cranberryrill.state import commands_pb2

SHOWN_DIGEST_BYTES = 6


class KeysHandler(base_handler.AdministrationHandler):
    """Answer `/admin/v1/keys`."""

    async def get(self) -> None:
        """List the keys; none is shown."""
        if not await self.require_current():
            return
        held = self.operations.state.configuration
        listed = [
            {
                'name': key.name,
                'organisation': key.organisation,
                'withdrawn': key.withdrawn,
                'digest': key.digest[:SHOWN_DIGEST_BYTES].hex(),
            }
            for key in sorted(held.keys.values(), key=_place)
        ]
        self.finish({'revision': held.revision, 'keys': listed})

    async def post(self) -> None:
        """Issue a key; without a digest it is made here and shown once."""
        asked = self.read_body(requests.KeyRequest)
        if asked is None:
            return
        key = '' if asked.sha256 else digests.new_key()
        digest = (
            bytes.fromhex(asked.sha256)
            if asked.sha256
            else digests.digest_of(key)
        )
        command = _put_key(
            commands_pb2.KeyRecord(
                digest=digest,
                organisation=asked.organisation,
                name=asked.name,
            ),
            asked,
        )
        changed = await self.operations.commit_change(command)
        await self.answer_change(changed, asked.wait, key=key)

    async def delete(self) -> None:
        """Withdraw a key by its name."""
        asked = self.read_body(requests.WithdrawRequest)
        if asked is None or not await self.require_current():
            return
        known = self.operations.state.configuration.find_key(asked.name)
        if known is None:
            self.refuse(refusals.UnknownKey(f'no key {asked.name!r}'))
            return
        withdrawn = commands_pb2.KeyRecord()
        withdrawn.CopyFrom(known)
        withdrawn.withdrawn = True
        changed = await self.operations.commit_change(
            _put_key(withdrawn, asked)
        )
        await self.answer_change(changed, asked.wait)


def _place(key: commands_pb2.KeyRecord) -> tuple[str, str]:
    return key.organisation, key.name


def _put_key(
    key: commands_pb2.KeyRecord,
    asked: requests.KeyRequest | requests.WithdrawRequest,
) -> commands_pb2.Command:
    digest = hashlib.sha256(key.SerializeToString(deterministic=True)).digest()
    return commands_pb2.Command(
        put_key=commands_pb2.PutKey(
            change_id=asked.change_id,
            key=key,
            request_digest=digest,
            operator=asked.operator,
        ),
    )
