"""Configure Nivelar: urgent answers to installers, drafting, a parts desk."""

from cranberryrill import library

WOBBLE = 'wobble'
PARTS_DESK = 'parts-desk'
# Two data centres at each of the two sites.
DATA_CENTRES = ('cartago-1', 'cartago-2', 'heredia-1', 'heredia-2')

# Limits of an organisation.
LARGE_REQUESTS_PER_SECOND = 50
LARGE_TOKENS_PER_MINUTE = 600_000
SMALL_REQUESTS_PER_SECOND = 10
SMALL_TOKENS_PER_MINUTE = 120_000

# Targets of the classes, in milliseconds.
URGENT_FIRST_TOKEN_MS = 460
URGENT_BETWEEN_TOKENS_MS = 72
ORDER_ANSWER_MS = 2_000
DIAGNOSIS_FIRST_TOKEN_MS = 3_000
DIAGNOSIS_BETWEEN_TOKENS_MS = 120
DRAFTING_FIRST_TOKEN_MS = 30_000
DRAFTING_BETWEEN_TOKENS_MS = 500

# Shares of the slots that a class keeps, and how many may wait.
URGENT_FLOOR = 0.3
DRAFTING_FLOOR = 0.05
ORDERS_WAITING = 128
DRAFTS_WAITING = 256

LARGE = ('installers', 'clinics-cartago', 'schools-central')
SMALL = (
    'cafes-cartago',
    'cafes-heredia',
    'clinics-heredia',
    'guides',
    'schools-north',
    'showroom',
    'workshop',
)
# Their technicians stand beside the table while they ask.
ON_THE_PHONE = ('installers', 'clinics-cartago', 'clinics-heredia')

ORGANISATIONS = (
    *(
        library.Organisation(
            name=name,
            weight=3,
            requests_per_second=LARGE_REQUESTS_PER_SECOND,
            tokens_per_minute=LARGE_TOKENS_PER_MINUTE,
        )
        for name in LARGE
    ),
    *(
        library.Organisation(
            name=name,
            requests_per_second=SMALL_REQUESTS_PER_SECOND,
            tokens_per_minute=SMALL_TOKENS_PER_MINUTE,
        )
        for name in SMALL
    ),
)

CLASSES = (
    library.RequestClass(
        name='urgent',
        tier=1,
        first_token_ms=URGENT_FIRST_TOKEN_MS,
        between_tokens_ms=URGENT_BETWEEN_TOKENS_MS,
        floor=URGENT_FLOOR,
    ),
    library.RequestClass(
        name='orders',
        tier=2,
        first_token_ms=ORDER_ANSWER_MS,
        floor=0.1,
        queue_limit=ORDERS_WAITING,
    ),
    library.RequestClass(
        name='diagnosis',
        tier=3,
        first_token_ms=DIAGNOSIS_FIRST_TOKEN_MS,
        between_tokens_ms=DIAGNOSIS_BETWEEN_TOKENS_MS,
        floor=0.1,
    ),
    library.RequestClass(
        name='drafting',
        tier=5,
        first_token_ms=DRAFTING_FIRST_TOKEN_MS,
        between_tokens_ms=DRAFTING_BETWEEN_TOKENS_MS,
        floor=DRAFTING_FLOOR,
        queue_limit=DRAFTS_WAITING,
    ),
)

CLASS_RULES = (
    *(
        library.ClassRule(
            name=f'{name}-urgent',
            organisation=name,
            target=WOBBLE,
            class_name='urgent',
        )
        for name in ON_THE_PHONE
    ),
    library.ClassRule(
        name='guides-drafting',
        organisation='guides',
        target=WOBBLE,
        class_name='drafting',
    ),
)

# About six model replicas in all, one desk in each data centre.
UPSTREAM_RULES = (
    *(
        library.UpstreamRule(
            name=f'{WOBBLE}-{data_centre}',
            target=WOBBLE,
            data_centre=data_centre,
            least=1,
            most=2,
        )
        for data_centre in DATA_CENTRES
    ),
    *(
        library.UpstreamRule(
            name=f'{PARTS_DESK}-{data_centre}',
            target=PARTS_DESK,
            data_centre=data_centre,
            least=1,
            most=1,
        )
        for data_centre in DATA_CENTRES
    ),
)

NIVELAR = library.Document(
    organisations=ORGANISATIONS,
    classes=CLASSES,
    models=(library.Model(name=WOBBLE, default_class='diagnosis'),),
    routes=(
        library.Route(
            name='parts',
            path_prefix='/orders',
            service=PARTS_DESK,
            default_class='orders',
            # A repeated order would bill a customer twice.
            idempotent=False,
        ),
        library.Route(
            name='catalogue',
            path_prefix='/catalogue',
            service=PARTS_DESK,
            default_class='orders',
            idempotent=True,
        ),
    ),
    class_rules=CLASS_RULES,
    upstream_rules=UPSTREAM_RULES,
)

if __name__ == '__main__':
    library.show(NIVELAR)
