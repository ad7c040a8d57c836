# Three voters become five; two founders leave, so three remain, and then the last founder is replaced: no voter that founded
# the fleet is left. A director is cut off during a change; another restarts with settings that name only the founders.
day(seconds = 28, directors = 5, voters = 3, spare_voters = 3, nodes = 10, racks = 2, zones = ["east", "west"], players = 500,
    class_of = 10, class_at = 6, watch = 4, roster_lag = 0.5, seed = 5, clocks_apart = True)

propose(at = 2, change = 1, directors = [1])
voter_list(at = 3, voters = [0, 1, 2, 3, 4], change = 2, directors = [0], notice = 0)
voter_roll(at = 5, voters = [0], notice = 2.5)
voter_roll(at = 5, voters = [1], notice = 2.5)
propose(at = 5.5, change = 3, directors = [2])
cut(at = 8, lasts = 3, directors = [0], voters = [0, 1, 2, 3, 4, 5])
voter_list(at = 8.5, voters = [2, 3, 4], change = 4, directors = [1], notice = 0.2)
voter_list(at = 10.5, voters = [3, 4, 5], change = 5, directors = [2], notice = 0.2)
balancer_roll(at = 12.5, directors = [3], notice = 0.3)
voter_stall(at = 13, lasts = 2, voters = [4])
propose(at = 13.3, change = 6, directors = [4])
