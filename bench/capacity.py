import asyncio, json, sys, time
from bench.capacityprobe import Recorder
from bench import capacityentry as e
r = Recorder(7, listener=lambda x: print(json.dumps(x), flush=True))
t=time.time()
e.measure_libraries(r)
for f in (e.measure_links, e.measure_load):
    asyncio.run(f(r)); print(f.__name__, time.time()-t)
