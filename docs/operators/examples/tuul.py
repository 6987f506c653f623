"""Configure Tuul: five rival workshops that share one pool fairly."""

from cranberryrill import library

FINISH = 'finish'
ORDER_DESK = 'order-desk'
DATA_CENTRES = ('ulaanbaatar-1', 'ulaanbaatar-2', 'ulaanbaatar-3')

# Limits of an organisation.
WORKSHOP_REQUESTS_PER_SECOND = 20
WORKSHOP_TOKENS_PER_MINUTE = 300_000
BUYER_REQUESTS_PER_SECOND = 10
BUYER_TOKENS_PER_MINUTE = 60_000

# Targets of the classes, in milliseconds.
REVIEW_FIRST_TOKEN_MS = 2_000
REVIEW_BETWEEN_TOKENS_MS = 100
ORDER_ANSWER_MS = 2_000
NOTE_FIRST_TOKEN_MS = 460
NOTE_BETWEEN_TOKENS_MS = 72
CHAT_FIRST_TOKEN_MS = 5_000
CHAT_BETWEEN_TOKENS_MS = 150

# Shares of the slots that a class keeps, and how many may wait.
REVIEW_FLOOR = 0.3
NOTE_FLOOR = 0.15
MOST_WAITING = 128

# Rivals get the same weight and the same limits, so that no bill and no
# waiting time depends on a neighbour.
WORKSHOPS = ('bogd', 'khan', 'selbe', 'tuul', 'yarmag')
BUYERS = ('buyers-centre', 'buyers-east', 'buyers-west', 'buyers-export')

ORGANISATIONS = (
    *(
        library.Organisation(
            name=name,
            weight=2,
            requests_per_second=WORKSHOP_REQUESTS_PER_SECOND,
            tokens_per_minute=WORKSHOP_TOKENS_PER_MINUTE,
        )
        for name in WORKSHOPS
    ),
    *(
        library.Organisation(
            name=name,
            requests_per_second=BUYER_REQUESTS_PER_SECOND,
            tokens_per_minute=BUYER_TOKENS_PER_MINUTE,
        )
        for name in BUYERS
    ),
)

CLASSES = (
    library.RequestClass(
        name='review',
        tier=1,
        first_token_ms=REVIEW_FIRST_TOKEN_MS,
        between_tokens_ms=REVIEW_BETWEEN_TOKENS_MS,
        floor=REVIEW_FLOOR,
    ),
    library.RequestClass(
        name='orders',
        tier=2,
        first_token_ms=ORDER_ANSWER_MS,
        floor=0.1,
        queue_limit=MOST_WAITING,
    ),
    library.RequestClass(
        name='notes',
        tier=3,
        first_token_ms=NOTE_FIRST_TOKEN_MS,
        between_tokens_ms=NOTE_BETWEEN_TOKENS_MS,
        floor=NOTE_FLOOR,
    ),
    library.RequestClass(
        name='chat',
        tier=4,
        first_token_ms=CHAT_FIRST_TOKEN_MS,
        between_tokens_ms=CHAT_BETWEEN_TOKENS_MS,
        floor=0.1,
        queue_limit=MOST_WAITING,
    ),
)

CLASS_RULES = tuple(
    library.ClassRule(
        name=f'{name}-notes',
        organisation=name,
        target=FINISH,
        class_name='notes',
    )
    for name in WORKSHOPS
)

# About nine model replicas in all, one desk in each data centre.
UPSTREAM_RULES = (
    *(
        library.UpstreamRule(
            name=f'{FINISH}-{data_centre}',
            target=FINISH,
            data_centre=data_centre,
            least=2,
            most=4,
        )
        for data_centre in DATA_CENTRES
    ),
    *(
        library.UpstreamRule(
            name=f'{ORDER_DESK}-{data_centre}',
            target=ORDER_DESK,
            data_centre=data_centre,
            least=1,
            most=1,
        )
        for data_centre in DATA_CENTRES
    ),
)

TUUL = library.Document(
    organisations=ORGANISATIONS,
    classes=CLASSES,
    # Reviews are asked for by the class header; a late one costs a slot.
    models=(library.Model(name=FINISH, default_class='chat'),),
    routes=(
        library.Route(
            name='orders',
            path_prefix='/orders',
            service=ORDER_DESK,
            default_class='orders',
            # A repeated order would send the goods twice.
            idempotent=False,
        ),
    ),
    class_rules=CLASS_RULES,
    upstream_rules=UPSTREAM_RULES,
)

if __name__ == '__main__':
    library.show(TUUL)
