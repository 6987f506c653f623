"""Administration API: callers' keys."""

import hashlib

from cranberryrill.administration import base_handler, refusals, requests
from cranberryrill.keys import digests
from cranberryrill.state import commands_pb2

SHOWN_DIGEST_BYTES = 6


class KeysHandler(base_handler.AdministrationHandler):
    """Handler of `/admin/v1/keys`."""

    async def get(self) -> None:
        """Return the names and shortened digests of all keys."""
        if not await self.require_current():
            return
        configuration = self.operations.state.configuration
        keys = [
            {
                'name': key.name,
                'organisation': key.organisation,
                'withdrawn': key.withdrawn,
                'digest': key.digest[:SHOWN_DIGEST_BYTES].hex(),
            }
            for key in sorted(configuration.keys.values(), key=_sort_key)
        ]
        self.finish({'revision': configuration.revision, 'keys': keys})

    async def post(self) -> None:
        """Issue a key.

        Without a digest in the request, generate the key and return it in
        this response only.
        """
        request = self.read_body(requests.KeyRequest)
        if request is None:
            return
        key = '' if request.sha256 else digests.new_key()
        digest = (
            bytes.fromhex(request.sha256)
            if request.sha256
            else digests.digest_of(key)
        )
        command = _put_key_command(
            commands_pb2.KeyRecord(
                digest=digest,
                organisation=request.organisation,
                name=request.name,
            ),
            request,
        )
        outcome = await self.operations.commit_change(command)
        await self.answer_change(outcome, request.wait, key=key)

    async def delete(self) -> None:
        """Withdraw the key that the request names."""
        request = self.read_body(requests.WithdrawRequest)
        if request is None or not await self.require_current():
            return
        current = self.operations.state.configuration.find_key(request.name)
        if current is None:
            self.refuse(refusals.UnknownKey(f'no key {request.name!r}'))
            return
        withdrawn_key = commands_pb2.KeyRecord()
        withdrawn_key.CopyFrom(current)
        withdrawn_key.withdrawn = True
        outcome = await self.operations.commit_change(
            _put_key_command(withdrawn_key, request)
        )
        await self.answer_change(outcome, request.wait)


def _sort_key(key: commands_pb2.KeyRecord) -> tuple[str, str]:
    return key.organisation, key.name


def _put_key_command(
    key: commands_pb2.KeyRecord,
    request: requests.KeyRequest | requests.WithdrawRequest,
) -> commands_pb2.Command:
    digest = hashlib.sha256(key.SerializeToString(deterministic=True)).digest()
    return commands_pb2.Command(
        put_key=commands_pb2.PutKey(
            change_id=request.change_id,
            key=key,
            request_digest=digest,
            operator=request.operator,
        ),
    )
