"""Soak seeds that failed in the past."""

# Seeds that failed in the past, with the cause of each failure. CI runs the first one;
# `python -m soak.main --regressions` runs all of them.
REGRESSIONS = {
    **dict.fromkeys(
        (108, 111, 113, 121, 125, 128, 142, 149),
        "SIGHUP ended a gateway that was still importing its libraries",
    ),
    **dict.fromkeys(
        (1, 2, 3, 4),
        "a stream went on at its copy's address, which a server of another service had",
    ),
    21: "an engine could send 15 MB of an endless response; not traced",
    7: "all streams without a body were refused with one that crashed engines",
    8: "the end of an engine that showed only by refused connections was not counted",
    903: "a call that ran on a later send, once its key was back, counted as late",
    119: "reading an entry nested 100,000 levels deep took a gateway 0.4 s",
    1101: "a stream was cut because its engine paused before its last chunk",
    1305: "the same, since the next engine answered late (known red)",
}
