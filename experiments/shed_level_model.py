#!/usr/bin/env python3
"""A model of the shed level: trees of calls on one scarce service, a front that keeps some away.

Prints, for each setting of the controller and each load, the share of the credit that is served,
of trees of four calls (one point each) and of pairs of four (three points), and the calls that
all servers refused. Figures in core/admission/overload_controller.cc come from here.
"""
import heapq
import itertools
import math
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

SLOTS = 18  # of each server
CALL_S = 0.022  # mean work of a call at speed 1
PATIENCE_S = 0.1
PRESSING_S = 0.06
WORD_DELAY_S = 0.3  # from a server's answer to the front
WORD_SMOOTHING_S = 0.3
MOST_SHARE = 0.8  # of a rank that is kept away


@dataclass(frozen=True)
class Setting:
    integral: float
    proportional: float
    target: float
    most_wait: float


@dataclass(frozen=True)
class Load:
    name: str
    light: float  # trees of four calls a second, rank kept away first
    dear: float  # pairs of four calls a second
    seconds: float = 24
    speeds: tuple = (0.7, 0.7, 1.6)


class Controller:
    """The rules of core/admission/overload_controller.cc, without its fall after a pause."""

    def __init__(self, setting):
        self.setting, self.pressure, self.integral, self.last = setting, 0.0, 0.0, 0.0

    def offer(self, now, utilization, wait):
        step, self.last = min(now - self.last, 0.1), now
        most = self.setting.most_wait
        seen = utilization if wait == 0 else 1 + min(most, wait / PRESSING_S)
        self.pressure += (1 - math.exp(-step / 0.1)) * (seen - self.pressure)
        excess = self.pressure - self.setting.target
        self.integral = min(3, max(0, self.integral + self.setting.integral * excess * step))

    def level(self):
        excess = self.pressure - self.setting.target
        return min(3, max(0, self.integral + self.setting.proportional * excess))


class Server:
    def __init__(self, speed, setting):
        self.speed, self.busy, self.queue = speed, 0, []
        self.call_s = CALL_S / speed
        self.controller = Controller(setting)


class Run:
    def __init__(self, load, setting, seed):
        self.load, self.random = load, random.Random(seed)
        self.servers = [Server(speed, setting) for speed in load.speeds]
        self.events, self.order = [], itertools.count()
        self.level, self.told = 0.0, 0.0
        self.served = {"light": 0, "dear": 0}
        self.refused_calls = 0

    def at(self, time, what, *arguments):
        heapq.heappush(self.events, (time, next(self.order), what, arguments))

    def play(self):
        self.at(0, self.arrive, "light")
        self.at(0, self.arrive, "dear")
        while self.events:
            now, _, what, arguments = heapq.heappop(self.events)
            if now > self.load.seconds:
                break
            what(now, *arguments)
        light = self.served["light"] / (self.load.light * self.load.seconds)
        dear = self.served["dear"] / (self.load.dear * self.load.seconds)
        weight = 3 * self.load.dear
        credit = (light * self.load.light + dear * weight) / (self.load.light + weight)
        return credit, light, dear, self.refused_calls

    def learn(self, now, level):
        weight = 1 - math.exp(-(now - self.told) / WORD_SMOOTHING_S)
        self.level += weight * (level - self.level)
        self.told = now

    def arrive(self, now, kind):
        rate = self.load.light if kind == "light" else self.load.dear
        self.at(now + self.random.expovariate(rate), self.arrive, kind)
        ranks_before = 0 if kind == "light" else 1
        if self.random.random() < min(MOST_SHARE, max(0, self.level - ranks_before)):
            return
        branches = 1 if kind == "light" else 2
        tree = {"kind": kind, "open": branches, "whole": True}
        for _ in range(branches):
            self.at(now + 0.05, self.call, tree, 4)

    def call(self, now, tree, left):
        ordered = sorted(
            self.servers,
            key=lambda s: ((s.busy + len(s.queue)) * s.call_s, self.random.random()),
        )
        for server in ordered:
            if server.busy < SLOTS and not server.queue:
                server.controller.offer(now, (server.busy + 1) / SLOTS, 0)
                self.begin(now, server, tree, left)
                return
            wait = server.call_s * (len(server.queue) + 1) / SLOTS
            server.controller.offer(now, 1, wait)
            if wait <= PATIENCE_S:
                server.queue.append((now + PATIENCE_S, tree, left))
                return
        self.refused_calls += 1
        mean = sum(s.controller.level() for s in self.servers) / len(self.servers)
        self.learn(now, mean)
        self.end_branch(tree, False)

    def begin(self, now, server, tree, left):
        server.busy += 1
        time = self.random.lognormvariate(math.log(server.call_s) - 0.11, 0.47)
        self.at(now + time, self.finish, server, tree, left)

    def finish(self, now, server, tree, left):
        server.busy -= 1
        self.at(now + WORD_DELAY_S, lambda later: self.learn(later, server.controller.level()))
        if left > 1:
            self.at(now + 0.005, self.call, tree, left - 1)
        else:
            self.end_branch(tree, True)
        while server.queue and server.busy < SLOTS:
            until, next_tree, next_left = server.queue.pop(0)
            if until < now:
                self.end_branch(next_tree, False)
            else:
                self.begin(now, server, next_tree, next_left)

    def end_branch(self, tree, whole):
        tree["open"] -= 1
        tree["whole"] = tree["whole"] and whole
        if tree["open"] == 0 and tree["whole"]:
            self.served[tree["kind"]] += 1


SETTINGS = [
    Setting(0.3, 0.8, 1.4, 2),
    Setting(0.3, 0.8, 1.0, 2),
    Setting(0.3, 0.8, 1.8, 2),
    Setting(0.3, 0.0, 1.4, 2),
    Setting(0.3, 0.8, 1.4, 1),
    Setting(1.0, 0.8, 1.4, 2),
]
LOADS = [
    Load("1.4 times", 457, 192),
    Load("one fast server", 269, 113, speeds=(1.6,)),
    Load("two slow servers", 269, 113, speeds=(0.7, 0.7)),
    Load("few dear ones", 1100, 20, seconds=16),
    Load("2.8 times at once", 900, 380, seconds=6),
]


def play_seeds(setting_and_load):
    setting, load = setting_and_load
    runs = [Run(load, setting, seed).play() for seed in (1, 2)]
    return [sum(values) / len(runs) for values in zip(*runs)]


def main():
    pairs = list(itertools.product(SETTINGS, LOADS))
    with ProcessPoolExecutor(4) as pool:
        for (setting, load), result in zip(pairs, pool.map(play_seeds, pairs)):
            credit, light, dear, refused = result
            print(
                f"{setting} {load.name}: credit {credit:.3f} light {light:.3f} "
                f"dear {dear:.3f} refused calls {refused:.0f}"
            )


if __name__ == "__main__":
    main()
