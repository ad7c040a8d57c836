# A thousand token lifetimes over three directors: restarts of all of them and of the keeper, duplicate retries, and
# a change of the signing key. No other faults.
day(seconds = 75, directors = 3, nodes = 16, racks = 4, zones = ["east", "west"], players = 0, class_of = 0, watch = 4,
    roster_lag = 0.5, seed = 7, schools = 4, seats = 16, tickets = 1000, token_lasts = 4)

balancer_roll(at = 8, directors = [0], notice = 1)
keeper_roll(at = 12, notice = 1)
balancer_roll(at = 18, directors = [1], notice = 1)
new_key(at = 22, lasts = 6)
keeper_roll(at = 26, notice = 3)
balancer_stall(at = 30, directors = [2], lasts = 3)
balancer_roll(at = 36, directors = [2, 0], notice = 0.5)
keeper_stall(at = 42, lasts = 4)
keeper_roll(at = 50, notice = 0.3)
balancer_roll(at = 51, directors = [1], notice = 0.3)
keeper_roll(at = 60, notice = 5)
