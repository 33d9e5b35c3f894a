#!/usr/bin/env python3
"""Draws a day for the users' bench: the same seed draws the same day.

    tools/draw-day.py restored 7 > /tmp/day.toml

Kinds: restored, the store returns from older copies beside changes, rolls and losses of instances;
reborn, upstreams are cut off, crash behind the cut and start again, beside planned work;
evacuated, data centres are evacuated and restored beside bursts, cuts and outages of the store;
overload, all users ask far more than fits while upstreams are lost, slow or misleading;
zoneburst, the users of one data centre ask six to fourteen times as much as usual.
The services and data centres of a deployment are named as in day files: @s0, @s1, @z0, @z1.
"""
import argparse
import random

LENGTH_S = 44.0
LAST_FAULT_S = 32.0  # leaves time for the bounds that hold after a disturbance


def entry(**fields):
    parts = []
    for name, value in fields.items():
        text = f'"{value}"' if isinstance(value, str) else str(round(value, 2) if isinstance(value, float) else value)
        parts.append(f"{name} = {text}")
    return "  { " + ", ".join(parts) + " },"


def draw_change(draw, at):
    how = draw.choice(("route", "route", "route", "idle", "weights", "timeout"))
    if draw.random() < 0.2:
        return entry(at=at, kind="config_storm", gap_s=draw.uniform(0.2, 0.8), for_s=draw.uniform(1, 3))
    return entry(at=at, kind="config_change", how=how)


def draw_work(draw, at):
    return draw.choice((
        lambda: entry(at=at, kind="roll_term", share=draw.uniform(0.3, 1), gap_s=draw.uniform(0.6, 1.5)),
        lambda: entry(at=at, kind="release", share=draw.uniform(0.2, 0.5), gap_s=draw.uniform(0.5, 1.5)),
        lambda: entry(at=at, kind="scale_in", share=draw.uniform(0.1, 0.2)),
    ))()


def draw_loss(draw, at):
    return draw.choice((
        lambda: entry(at=at, kind="node_kill", share=draw.uniform(0.1, 0.3)),
        lambda: entry(at=at, kind="herd_kill", share=draw.uniform(0.4, 1)),
        lambda: entry(at=at, kind="core_cut", count=draw.randrange(1, 3), for_s=draw.uniform(2, 6)),
        lambda: entry(at=at, kind="clock_step", share=0.3, x=draw.choice((-2000.0, 2000.0, 5000.0)), for_s=4.0),
        lambda: entry(at=at, kind="replace_with_reuse", share=draw.uniform(0.1, 0.2), how=draw.choice(("", "drain", "dark"))),
        lambda: entry(at=at, kind="platform_lost", x=0.4, for_s=draw.uniform(2, 4), how=draw.choice(("", "late"))),
    ))()


def draw_restored(draw):
    faults, plan, at = [], [], draw.uniform(8, 14)
    for _ in range(draw.choice((1, 2, 2))):
        lost_s, down_s = draw.uniform(2, 14), draw.uniform(0.3, 4)
        faults.append(entry(at=at, kind="platform_down", how="restored", x=lost_s, for_s=down_s))
        for earliest, latest in ((-lost_s, -0.1), (-lost_s, -0.1), (0, down_s), (down_s, down_s + 3), (down_s, down_s + 6)):
            if draw.random() < 0.8:
                plan.append(draw_change(draw, max(1.0, at + draw.uniform(earliest, latest))))
        plan.append(draw_work(draw, max(1.0, at + draw.uniform(-lost_s, down_s + 5))))
        if draw.random() < 0.5:
            faults.append(draw_loss(draw, max(1.0, at + draw.uniform(-4, down_s + 4))))
        at += down_s + draw.uniform(1, 12)
        if at > LAST_FAULT_S:
            break
    return faults, plan


def draw_reborn(draw):
    faults, plan, at = [], [], draw.uniform(2, 10)
    while at < LAST_FAULT_S and len(faults) < 5:
        for_s = draw.uniform(1, 8)
        faults.append(entry(at=at, kind="srv_cut", share=draw.uniform(0.1, 0.4), for_s=for_s,
                            service=draw.choice(("@s0", "@s0", "@s1")),
                            how=draw.choice(("reborn", "reborn", "reborn fronts", "reborn one_way"))))
        if draw.random() < 0.5:
            plan.append(draw_work(draw, max(1.0, at + draw.uniform(-3, for_s + 2))))
        if draw.random() < 0.3:
            faults.append(draw_loss(draw, max(1.0, at + draw.uniform(-2, for_s + 4))))
        if draw.random() < 0.3:
            plan.append(draw_change(draw, max(1.0, at + draw.uniform(-2, for_s + 2))))
        at += draw.uniform(2, 12)
    return faults, plan


def draw_outage(draw, at):
    how = draw.choice(("silent", "busy", "nodes reset revoke meet", "nodes busy revoke meet", "restored"))
    return entry(at=at, kind="platform_down", how=how, for_s=draw.uniform(1, 5), **({"x": draw.uniform(2, 9)} if how == "restored" else {}))


def draw_evacuated(draw):
    """Each evacuation begins or ends near one of the other disturbances."""
    faults, plan, at = [], [], draw.uniform(1, 4)
    zones = draw.sample(("@z0", "@z1", "@z2"), 2)
    while at < LAST_FAULT_S - 6:
        for_s = draw.uniform(3, 10)
        plan.append(entry(at=at, kind="evacuate", zone=zones[0], for_s=for_s, how=draw.choice(("", "warm"))))
        if draw.random() < 0.3:
            plan.append(entry(at=at + draw.uniform(0, for_s / 2), kind="evacuate", zone=zones[1], for_s=for_s / 2, how=""))
        near = draw.choice((at - 1, at + 0.5, at + for_s - 1, at + for_s + 0.5))
        faults.append(draw.choice((
            lambda: entry(at=max(0.5, near), kind="burst", x=draw.uniform(1.5, 3), for_s=draw.uniform(2, 5)),
            lambda: entry(at=max(0.5, near), kind="zone_cut", zone=draw.choice(zones), for_s=draw.uniform(2, 5), how="drop"),
            lambda: entry(at=max(0.5, near), kind="node_cut", share=draw.uniform(0.1, 0.3), for_s=draw.uniform(2, 5)),
            lambda: draw_outage(draw, max(0.5, near)),
            lambda: draw_outage(draw, max(0.5, near)),
        ))())
        if draw.random() < 0.3:
            plan.append(draw_work(draw, max(0.5, near)))
        if draw.random() < 0.3:
            faults.append(entry(at=max(0.5, near), kind="after_ack_kill", for_s=3.0, how=""))
        at += for_s + draw.uniform(1, 6)
        zones.reverse()
    return faults, plan


def draw_overload(draw):
    faults, plan, at = [], [], draw.uniform(3, 8)
    while at < LAST_FAULT_S - 4:
        for_s = draw.uniform(4, 8)
        faults.append(entry(at=at, kind="burst", x=draw.uniform(3, 6), for_s=for_s))
        faults.append(draw.choice((
            lambda: entry(at=at + 1, kind="srv_grey", share=0.14, for_s=for_s, how=draw.choice(("shed", "errors", "busy")), x=0.5),
            lambda: entry(at=at + 1, kind="srv_slow", share=0.16, x=4.0, for_s=for_s),
            lambda: entry(at=at + 1, kind="srv_crash", share=draw.uniform(0.1, 0.3), for_s=4.0, how=""),
            lambda: entry(at=at + 1, kind="node_cut", share=0.17, for_s=4.0),
            lambda: entry(at=at + 1, kind="node_kill", share=0.2, for_s=3.0),
        ))())
        at += for_s + draw.uniform(5, 9)
    return faults, plan


def draw_zoneburst(draw):
    faults, plan, at = [], [], draw.uniform(3, 8)
    while at < LAST_FAULT_S - 3:
        for_s = draw.uniform(3, 6)
        faults.append(entry(at=at, kind="burst", x=draw.uniform(6, 14), for_s=for_s, zone=draw.choice(("@z0", "@z1", "@z2"))))
        if draw.random() < 0.4:
            faults.append(entry(at=at + 1, kind="node_kill", share=0.15, for_s=3.0))
        if draw.random() < 0.3:
            plan.append(draw_work(draw, at))
        at += for_s + draw.uniform(4, 9)
    return faults, plan


DRAWN_KINDS = {
    "restored": draw_restored,
    "reborn": draw_reborn,
    "evacuated": draw_evacuated,
    "overload": draw_overload,
    "zoneburst": draw_zoneburst,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("kind", choices=tuple(DRAWN_KINDS))
    parser.add_argument("seed", type=int)
    options = parser.parse_args()
    draw = random.Random(f"{options.kind} {options.seed}")
    faults, plan = DRAWN_KINDS[options.kind](draw)
    begin = lambda line: float(line.split("at = ")[1].split(",")[0])
    faults.sort(key=begin)
    plan.sort(key=begin)
    print(f'[[day]]\nname = "{options.kind}-{options.seed}"\nlength_s = {LENGTH_S}')
    print("\n".join(["plan = [", *plan, "]", "faults = [", *faults, "]"]))


if __name__ == "__main__":
    main()
