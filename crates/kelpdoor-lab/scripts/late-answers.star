# The answers of all voters reach one director nearly a lease late, and another receives none, while rules change repeatedly. A
# director that counted its lease from the answer, or from the request alone, would act on the old version beside the new one.
day(seconds = 30, directors = 3, voters = 3, nodes = 10, racks = 2, zones = ["east", "west"], players = 700, class_of = 10,
    class_at = 6, watch = 3, roster_lag = 0.5, seed = 5, clocks_apart = True)

late(at = 2, lasts = 15, directors = [0], voters = [0, 1, 2], way = "back", factor = 0.9)
[propose(at = 3 + 2.3 * k, change = k + 1, directors = [1]) for k in range(6)]
cut(at = 8, lasts = 3.5, directors = [2], voters = [0, 1, 2], way = "back")
cut(at = 13, lasts = 3.5, directors = [2], voters = [0, 1, 2], way = "there")
