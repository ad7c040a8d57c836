# The default bad day: three directors, sixteen nodes in four racks and two zones, 300 players.
day(seconds = 60, directors = 3, nodes = 16, racks = 4, zones = ["east", "west"], players = 270, class_of = 30,
    class_at = 12, watch = 14, roster_lag = 1, seed = 1, schools = 2, seats = 6, tickets = 90, token_lasts = 6)

# The keeper is killed and restarted, the signing key of the tokens changes, and later the keeper is paused.
keeper_roll(at = 14, notice = 2)
new_key(at = 22, lasts = 6)
keeper_stall(at = 40, lasts = 5)

# Two nodes crash and restart cold; another stops responding.
crash(at = 6, nodes = [2, 9], lasts = 6)
vanish(at = 20, nodes = [5], lasts = 7)

# A drain during the burst of set-ups at the start of the class.
drain(at = 12.4, nodes = [7, 8], lasts = 6)

# A rack's uplink loses bandwidth while other traffic uses part of two nodes' links.
rack_sag(at = 16, racks = [1], lasts = 9, factor = 0.4)
neighbour(at = 18, nodes = [10, 11], lasts = 8, factor = 0.5)

# A director is killed and restarted from its stored roster; another is paused.
balancer_roll(at = 25, directors = [1], notice = 1.5)
balancer_stall(at = 30, directors = [2], lasts = 10)

# Roster updates and node notifications are delayed; then nodes are replaced one by one.
discovery_stale(at = 33, lasts = 9, factor = 3)
report_late(at = 35, lasts = 6, factor = 2)
deploy(at = 36, nodes = [0, 3, 12], lasts = 9, notice = 1.5)

# A node slows down until it is restarted, two are preempted at short notice, and many players request one title.
ageing(at = 38, nodes = [6], lasts = 8)
preempt(at = 42, nodes = [13, 14], notice = 1, lasts = 5)
hot_key(at = 44, title = "title-03", players = 25, lasts = 1)

# A zone fails while a director restarts.
zone_loss(at = 48, zone = "west", lasts = 4)
balancer_roll(at = 49, directors = [0], notice = 1)
