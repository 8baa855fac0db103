"""What connections and requests cost in the process, in bytes.

Measured with CPython 3.11 and uvloop as the growth of resident memory, over 1,000
connections each: 3.5 KB for an idle connection, 121 bytes for a header line `a:b`, 180
for a line of 45 bytes, 330 for a pipelined request of 28 bytes, 2.2 KB more while a
request is being handled. `accountmemory_test` repeats the measurement.
"""

# Protocol, parser, transport and their Python objects.
CONNECTION_BYTES = 3_500
# A complete request without its headers and body.
REQUEST_BYTES = 250
# Task, response and job of a request that is being served; streams hold more state of
# their attempts than calls.
SERVED_BYTES = 4_000
# A header without the bytes of its line: a pair of two bytes objects in a list.
HEADER_BYTES = 135
# The least that a header line costs.
HEADER_LINE_BYTES = 121
