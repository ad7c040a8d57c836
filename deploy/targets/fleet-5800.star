# The fleet in two years, as its users see it: kelpdoor-lab scale plan --target deploy/targets/fleet-5800.star

target(
    directors = 5800,
    connections = 260e6,
    shards = 3e6,
    largest_title = 590e3,    # listeners
    deliveries = 76e6,        # a second
    delivery_within = 0.23,   # s, for 99 in 100
    regions = 5,
    zones = 11,
    changes_a_day = 50e3,
    in_force_within = 14,     # s, everywhere
)

# For control: of a core, B and B a second for each director, and machines set aside in all.
budget(core = 0.019, memory = 64e6, bytes = 3000, machines = 41)

faults(
    machines_a_day = 41,
    restarted_a_day = 2600,
    racks_a_day = 1.0 / 7,
    zones_a_day = 1.0 / 61,   # every other month
    region_cut = 3600,        # s
)

# Not told by the users.
assume(
    sessions_a_node = 2000,   # a 10 Gbit/s link at some 5 Mbit/s each
    titles = 100e3,           # each at 30 directors on average
    voters = 5,               # one a region
    contradiction = 14,       # s
    document = 200e3,         # B
    directors_a_rack = 20,
    setups_a_second = 500,    # at a director; docs/measured.md has it at 0.20 of a core
)
