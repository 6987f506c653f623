"""Submit to whichever members there are now."""

import random

from cranberryrill import transport
from cranberryrill.state import submission

SEED = transport.Address('10.0.0.1', 1)
LATER = transport.Address('10.0.0.9', 1)


def test_members_that_replace_the_seeds_are_submitted_to() -> None:
    submitter = submission.Submitter(
        transport.Dialer(None),
        [SEED],
        random.Random(1),
    )
    submitter.add_control_addresses([SEED, LATER])
    submitter.add_control_addresses([LATER])
    assert submitter.control == [SEED, LATER]
