# A short bad day: the same kinds of trouble, fewer of each.
day(seconds = 16, directors = 2, nodes = 8, racks = 2, zones = ["east", "west"], players = 60, class_of = 15,
    class_at = 3, watch = 6, roster_lag = 0.5, seed = 2, schools = 1, seats = 5, tickets = 30, token_lasts = 3)

keeper_roll(at = 5, notice = 1)
new_key(at = 8, lasts = 3)

drain(at = 3.3, nodes = [3], lasts = 3)
crash(at = 4, nodes = [1], lasts = 2)
rack_sag(at = 5, racks = [1], lasts = 4, factor = 0.4)
vanish(at = 6, nodes = [6], lasts = 3)
balancer_roll(at = 7, directors = [1], notice = 0.7)
balancer_stall(at = 9, directors = [0], lasts = 2)
preempt(at = 11, nodes = [4], notice = 0.7, lasts = 2)
