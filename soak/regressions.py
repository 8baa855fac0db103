"""Seeds of soaks that ever failed."""

# Seeds that failed once, each with its cause. The first runs in CI, all of them by
# `python -m soak.main --regressions`.
REGRESSIONS = dict.fromkeys(
    (108, 111, 113, 121, 125, 128, 142, 149),
    "SIGHUP ended a gateway that was still importing its libraries",
)
