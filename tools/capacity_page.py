"""Text of docs/CAPACITY.md, with tables that `tools.capacity` computes."""

from tools.capacity import (
    DAY_SECONDS,
    Limits,
    Size,
    Slopes,
    roles,
    slopes_table,
    table,
)

__all__ = ["capacity_page"]

MEAN_SHARDS = 210 / 370
BUSIEST_SHARDS = 3.0

HEAD = """\
# Capacity

What each role costs a VM at the size planned for, worked out from measured slopes. The
tables are made by `make docs` from `docs/capacity-slopes.json`; a test compares them.
The slopes come from `make bench` (`python tools/capacity.py RESULTS` records them);
they are listed with case and seed at the end. Processor times were taken on one
machine; the same code gave up to 1.6 times as much in other runs there.

## Size

370 VMs, 2,900 engines, 750 organisations of which 75 are backlogged, 10 models,
6 regions with 21 availability zones, 3,500 requests and 1.4 million tokens a second,
8,000 changes a day. Each model is in each zone, which makes 210 shards of 14 engines;
a VM takes {requests:.1f} requests a second, and a shard {shard:.1f}.

Limits for control, a VM: 1.9 % of a core, 256 MB, 7 KB/s.
"""


def store_section(size: Size, slopes: Slopes) -> str:
    """Return the section on the load of the platform's store."""
    reads = slopes.get("config-spread-370", "store_reads_per_s_changing")
    changes = size.changes_per_day / DAY_SECONDS
    return f"""\
| who | reads/s | commits/s | mechanism |
| --- | --- | --- | --- |
| configuration | {reads:.0f} | {changes:.2f} | two pollers a region; a change is one \
commit of its chunks and one of the head |
| orders, each a second | 1 | 2, and 1 more when it is removed | one conditional \
insert before the first byte, one write of the outcome |
| engine orders | under 1 | under 1 | one lease for the fleet, one row an engine |

With 400 commits a second the fleet carries 130 orders a second, 3.8 % of the requests
(docs/design/orders.md). **This breaks first where more of the requests are orders**;
the mechanism to add then is a commit for several orders at once, whose measured gain
at this rate is small. The store is on no path of repeatable requests: its outage stops
orders and changes and nothing else.
"""


def data_section(size: Size, slopes: Slopes) -> str:
    """Return the section on the cost of the callers' data, which control excludes."""
    tokens = size.tokens_per_second / size.nodes
    per_token = slopes.get("speed", "router_cpu_us_per_token")
    per_request = slopes.get("speed", "router_cpu_us")
    core = (tokens * per_token + size.requests_per_node * per_request) / 1e6
    stream = slopes.get("speed", "bytes_per_open_stream")
    memory = size.streams_per_node * stream / 1e6
    return f"""\
A VM passes on {tokens:,.0f} tokens a second of {size.streams_per_node:.0f} open
streams. At {per_token:.0f} us a token and {per_request:,.0f} us a request that is
{core:.0%} of a core, nearly all of it in the HTTP library's reading and writing of
chunks. An open stream takes {stream / 1e3:.0f} kB with the caller's and the endpoint's
side of the test in it, {memory:.0f} MB in all; a caller that reads slowly adds at most
256 kB. A VM with one core has no room for a second such load: when a sixth of the VMs
is lost with a region, the rest needs {core * 6 / 5:.0%} of a core each. More VMs or a
second process a VM are the way out; each process is a router of its own.
"""


FAILURES = """\
## What fails at this size

| event | what it does | time |
| --- | --- | --- |
| a VM dies (21 a day) | its callers ask again elsewhere; its shards fall to other \
VMs of the zone, which hear what waits and runs from the ingresses | {death:.1f} s \
until it is known everywhere, at once where its host refuses connections |
| a VM is replaced (170 a day) | it leaves by its own word: no request is cut | known \
within {word:.1f} s |
| a zone is lost | 17 VMs and its 140 engines; the dispatchers of its 10 shards \
go, and callers in it use the nearest zone. Engines elsewhere run 5 % more | as a VM |
| a region is lost | a sixth of everything; the rest carries 20 % more | as a VM |
| regions lose each other for an hour | each goes on alone; dispatchers of both sides \
count on, and the debt after the heal is bounded | back in bound within 10 s |
| the store is out | no orders, no changes; all else goes on, new VMs learn the \
configuration from peers | until it is back |

21 deaths and 170 replacements a day move 0.57 shards each on average: 108 moves a day,
one in 13 minutes. A move costs one full snapshot of what waits and runs there.

## What breaks first

1. **Processor time and bytes of the busiest dispatcher.** Rendezvous hashing gives \
some VM three shards of its zone. The second table shows what that costs. The \
mechanism to add is a bound on the shards of a VM (210 shards fit on 370 VMs one by \
one); the preset `traffic` lowers the bytes until then.
2. **Orders**, where they are more than 3.8 % of the requests: the store's commits.
3. **Region links** in the preset `fairness` with all 75 backlogged organisations in \
every model: sums are paced by the same bytes a second, at most 30 kB/s or 0.24 Mbit/s \
leave a region, 1.6 % of 15 Mbit/s; in the preset `traffic` 0.4 %.
4. **The choice of an endpoint** grows with the endpoints of a shard: 12, 34 and \
323 us at 5, 30 and 290 (`--only=slopes`, seed 1). A shard of 14 is far from it; a \
service with all its engines in one zone is not.
5. **A hot model**: a shard with a fifth of all requests takes ten times the mean. Its \
dispatcher would need half a core. Splitting a shard by endpoints is the way out.

## Not measured

Figures at 370 VMs are from the virtual clock, one process and fakes of the network; no
370 processes were run. Requests spread evenly over models and zones is an assumption.
"""


SITES = """\
## Targets and results on the users' sites

| what | target | result |
| --- | --- | --- |
| large site, gate | passed | failed on afae89a (six of seven days given up for \
processor time); not scored since |
| large site, mean worth of days with trouble | 0.60, ours 0.70 | scale-1 0.600 \
(trial) and scale-2 0.586 in one play each, 803 and 784 s of 852 s of processor \
time; before both were given up |
| large site, quiet-1 | 0.86 | 0.835 on afae89a |
| large site, trouble-1 | played to its end | given up at 40.6 s on 3b3b5a9, 0.658 \
until then, no other rule broken (41.8 s on fc7d9db) |
| cellarwright-bc-grown, scale-1 | 0.57 at the mean of its heavy days | 0.524 and \
0.521 on c72f7ae, two plays, gate passed |
| sudtrag-hq-grown, scale-1 | 0.47 at the mean of its heavy days | 0.567 with FAIR \
broken on c72f7ae; 0.403 with no rule broken on 93256fe; 0.349 on 7a689d0; 0.491 until \
it was given up at 27.4 s, no rule broken (trial of shares in whole prompts); 0.505 on \
fd21814, 0.563 on ac0a296 and 0.506 on 6c373ea, no rule broken in any |
| connections passed on by the flooded router of shifted scale-1, 13 s to 25 s | each \
second | 0 for five to ten seconds in two plays of four, FAIR broken in both, on \
fd21814; 556 to 980 in one play with four of the changes of the incident of closed \
relays |
| connections relayed by the router of a flood that comes to it alone, 0.516 cores, \
floods from 5 s (seed 7001, trials) | each second | 0 for two seconds, then 128 to 443 \
on 66e4f3f; 831 to 1,563 until 11 s with the code of 6c373ea |
| processor time of a relayed request beyond that of one that is not, both routers \
together, one process on loopback | as before | 0.86 to 0.95 ms on 710b04b, 0.97 to \
1.12 ms since connections are accepted by the other router (6b7985a) |
| system calls of a router, by strace: a relayed stream of 25 events; a refused \
connection | few | 126 and 10 on 66e4f3f; 86 and 6 since c37d51b |
| least ratio of two floods in windows of 6 s, five draws | 0.5 | 0.44 to 0.58 on \
66e4f3f; 0.57 to 0.82 since ([two floods](incidents/2026-12-04-two-floods.md)) |
| live routers of 62 in 6 zones, no fault, virtual clock | each router knows a ready \
one in each zone at any time | fails within a second before, 10 s without a miss \
after |
| sudtrag-hq-grown scale-1, no time charged, up to 20 s | no rule broken | FAIR 1 in \
each play of 8dcfd26 (0.297), none with the link's congestion counted, one estimate of \
engines and a limit that falls with contended use (0.484, 530d76c0) |
| organisations with engines of their own region that suffice, 150 KB/s between \
regions, model of eight routers | at least half of what they get without the narrow \
link | 0.19 to 0.52 before, 0.65 and more after (three seeds) |
| estimates of the same engines at two routers, model with a flood | within a factor \
of 2 | 2.4 before, 1.1 after |
| an organisation that waits, beside the best served one, model of nine engines | at \
least half in each 6 s | 9 windows under it in 8 runs before, 0 in 16 runs |
| check of the endpoints for a request, 2,900 endpoints, 50 with signals | 5 us | \
1.1 us |
| era of a restored store known by all, 9 / 40 / 195 routers, virtual clock, one \
datagram of ten lost, slow store, cuts | 2 s at p99 | 3.4 / 2.7 / 4.4 s (100, 12 and \
4 histories); p50 0.43 / 0.69 / 0.65 s |
| rows of the journal of origins, while several versions serve | 400 writes a \
second for all | not played at size; by its design 4 a second in each of 21 zones, 84 |
| resumptions after the loss of all routers, two versions, whose origin is \
known | half of them | 33 of 43 in one day of nine routers (trial; rejoined, seed 11) |
| histories with a promise broken by a restore, 9 / 40 / 195 routers | 0 of 1,000 | 0 \
of 100 / 0 of 12 / 0 of 4 |
| processor time to load a router, this machine | 0.25 s from exec to ready | 0.245 \
to 0.315 s loading alone (0.338 to 0.434 before) |
| sudtrag-hq, all days | none lower by 0.03 | gate passed; 0.835, 0.668, 0.571, 0.669, \
0.592, and 0.653, 0.669, 0.696 in three plays of trouble-3 (0.665, 0.685 on afae89a) |
| busiest router's control bytes at 89 / 195 / 370 routers, virtual clock | 7 KB/s | \
8.5 / 9.0 / not run to its end; 8.2 at 89 without the origins of streams; 7.5 / 7.9 \
/ 26 KB/s before |
| control bytes a router with an endpoint that ends each second, 24 requests of three \
segments in flight, 9 / 40 / 89 routers, virtual clock, no load | 7 KB/s | 30.2 / 15.1 \
/ 15.5 (3.8 / 1.9 / 2.1 without ends); 370 not run |
| a change known everywhere, 195 routers, one datagram of ten lost, virtual clock | \
1 s at p99 | 0.56 s |
| processor time for control | 1.9 % of a core | not measured by itself; start and \
16 s of waiting on the large site: 2.4 % at the mean |
| shifted site, mean worth of days with trouble | 0.61, ours 0.66 | untouched 0.583, \
rules broken on each day; since then scale-1 0.624 and 0.646 (FAIR broken in the \
second), scale-2 0.544, trouble-1 0.639, on different commits; trouble-2 and \
trouble-3 not played |
| a drain in force on all routers, 9 and 74, virtual clock, 3 % lost | 2 s | at most \
2 s in 8 and 2 histories; 370 not run |
| requests a second at an endpoint that warms up, two coordinators, virtual clock | \
18 | at most 18 in 1,000 histories |
| slopes of the users' sweep at 30, 100 and 300 VMs | service at 300 at least 0.7 of \
that at 30 | sudtrag-hq, one play each: 0.884 at 30, 0.852 at 100, no rule broken; \
300 ended by hand, no result |

Of the days of the large site [design/large-site.md](design/large-site.md) tells more.
All other tables on this page come from the benchmarks of the product's own interface,
whose roles the platform's routers do not have.

"""


def capacity_page() -> str:
    """Return docs/CAPACITY.md."""
    size, limits, slopes = Size(), Limits(), Slopes.from_file()
    parts = [
        HEAD.format(requests=size.requests_per_node, shard=size.requests_per_shard),
        "\n",
        SITES.rstrip(),
        "\n\n## Control, a VM with the mean number of shards, preset `fairness`\n\n",
        table(roles(size, slopes, MEAN_SHARDS, "fairness"), limits),
        "\n\n## Control, a VM with the mean number of shards, preset `traffic`\n\n",
        table(roles(size, slopes, MEAN_SHARDS, "traffic"), limits),
        "\n\n## Control, the busiest VM, preset `fairness`\n\n",
        table(roles(size, slopes, BUSIEST_SHARDS, "fairness"), limits),
        "\n\n## Control, the busiest VM, preset `traffic`\n\n",
        table(roles(size, slopes, BUSIEST_SHARDS, "traffic"), limits),
        "\n\n## Control, with one shard a VM at most, preset `traffic`\n\n",
        table(roles(size, slopes, 1.0, "traffic"), limits),
        "\n\n## Configuration\n\nA change is in force everywhere within ",
        f"{slopes.get('config-spread-370', 'worst_in_force_s'):.1f} s at 370 VMs, ",
        "against 11 s.\n\n## The platform's store\n\n",
        store_section(size, slopes),
        "\n## Data\n\n",
        data_section(size, slopes),
        "\n",
        FAILURES.format(
            death=slopes.get("membership-370", "death_everywhere_seconds_max"),
            word=slopes.get("membership-370", "list_word_everywhere_seconds"),
        ),
        "\n## Slopes\n\n`python -m bench --only=decisions`, `membership`, `config` ",
        "and `speed`, full runs.\n\n",
        slopes_table(),
        "\n",
    ]
    return "".join(parts)
