# Five directors and three voters: rules change while one director is cut off, another receives no answers, a voter is paused,
# another is killed, and another loses its disk.
day(seconds = 28, directors = 5, voters = 3, nodes = 10, racks = 2, zones = ["east", "west"], players = 500, class_of = 10,
    class_at = 6, watch = 4, roster_lag = 0.5, seed = 3, clocks_apart = True)

propose(at = 2, change = 1, directors = [1])
cut(at = 4, lasts = 4, directors = [0], voters = [0, 1, 2])
propose(at = 4.5, change = 2, directors = [1])
balancer_stall(at = 5, directors = [4], lasts = 2.5)
propose(at = 5.5, change = 3, directors = [2])
cut(at = 7, lasts = 3, directors = [2], voters = [0, 1], way = "back")
voter_stall(at = 8, lasts = 2, voters = [0])
propose(at = 8.5, change = 4, directors = [3])
balancer_roll(at = 9, directors = [3], notice = 0.3)
voter_roll(at = 11, voters = [1], notice = 1)
propose(at = 11.3, change = 5, directors = [0])
voter_disk(at = 13, voters = [2], notice = 0.5)
late(at = 13, lasts = 2, directors = [0, 1], voters = [0], factor = 0.4)
propose(at = 15, change = 6, directors = [4])
