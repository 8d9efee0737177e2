#!/usr/bin/env python3
"""Generates the data, operators' table and server list of a deployment.

Writes into --out: SERVICE.jsonl (records of all snapshot versions),
table.json (the operators' table) and servers.json (for bench-backend). The
output is deterministic: the same arguments give the same files.

A line of SERVICE.jsonl is {"key", "from", "to", "sort", "body"}: the record
belongs to snapshot version v if from <= v < to; "to" null means it is never
removed.
"""

import argparse
import json
import os
import random
import re

VERSIONS = 4
CHANGED_RATIO = 0.05
REMOVED_RATIO = 0.02
ADDED_RATIO = 0.03
LOOPBACK = "127.0.0.1"

URGENCIES = ["leak", "heating", "wiring", "lift", "door", "paint"]
MUNICIPALITIES = ["Namur", "Liège", "Charleroi", "Mons", "Tournai", "Arlon",
                  "Gent", "Leuven", "Mechelen", "Hasselt"]
STREETS = ["rue des Tanneurs", "rue du Moulin", "avenue Louise",
           "Kerkstraat", "Stationsplein", "Molenweg", "rue Haute"]
TECHNICIANS = ["A. Peeters", "B. Lambert", "C. Janssens", "D. Dubois",
               "E. Maes", "F. Claes", "G. Leroy", "H. Willems", None]
ORDER_STATES = ["open", "planned", "under_way", "done"]

HOTELS = ["Tamarindo Mar", "Casa Nosara", "Valle Azul", "Hotel Irazú",
          "Liberia Plaza", "Poás Lodge", "Sámara Sol", "Cartago Real"]
PROVINCES = ["Guanacaste", "Alajuela", "Heredia", "San José", "Cartago"]
ALLERGIES = ["none", "none", "none", "nuts", "gluten", "lactose", "shellfish",
             "egg"]
MEALS = ["buffet", "a_la_carte", "packed"]

# Limits of a server by kind of service: (slots, connections, microseconds to
# establish a connection).
DESK = (2, 25, 5000)
REGISTRY = (3, 100, 1000)
BOOKING = (6, 50, 1000)


def repair_order(rng, serial):
    due = "2026-%02d-%02dT%02d:%02d" % (rng.randint(1, 6), rng.randint(1, 28),
                                        rng.randint(7, 18),
                                        rng.choice([0, 15, 30, 45]))
    rank = rng.randrange(len(URGENCIES))
    body = {
        "order": serial,
        "workspace": "ws-%02d" % rng.randint(1, 20),
        "market": "belgium",
        "urgency": URGENCIES[rank],
        "state": rng.choice(ORDER_STATES),
        "address": "%s %d" % (rng.choice(STREETS), rng.randint(1, 200)),
        "municipality": rng.choice(MUNICIPALITIES),
        "due": due,
        "technician": rng.choice(TECHNICIANS),
        "tenant_at_home": rng.random() < 0.6,
    }
    return "%d %s" % (rank, due), body


def change_order(rng, body):
    body = dict(body)
    body["state"] = rng.choice(ORDER_STATES)
    body["technician"] = rng.choice(TECHNICIANS)
    return body


def booking(rng, serial):
    date = "2026-%02d-%02d" % (rng.randint(1, 3), rng.randint(1, 28))
    hotel = rng.choice(HOTELS)
    body = {
        "booking": serial,
        "workspace": "ws-%02d" % rng.randint(1, 20),
        "market": "costa-rica",
        "hotel": hotel,
        "province": rng.choice(PROVINCES),
        "date": date,
        "guests": rng.randint(1, 6),
        "allergy": rng.choice(ALLERGIES),
        "meal": rng.choice(MEALS),
        "early": rng.random() < 0.2,
    }
    return "%s %s" % (date, hotel), body


def change_booking(rng, body):
    body = dict(body)
    body["guests"] = rng.randint(1, 6)
    body["allergy"] = rng.choice(ALLERGIES)
    return body


def service(name, market, data_centres, servers, limits, shards, replicas=2,
            mode="latency", deadline_ms=500, priority=5, first_dc=0):
    return {
        "name": name, "market": market, "mode": mode,
        "deadline_ms": deadline_ms, "priority": priority, "shards": shards,
        "replicas": replicas, "limits": limits,
        "data_centres": [data_centres[(first_dc + i) % len(data_centres)]
                         for i in range(servers)],
    }


def scaled(count, scale, minimum=1):
    return max(minimum, round(count * scale))


def belgium(args):
    dcs = ["be1", "be2", "be3", "be4"]
    out = []
    for i in range(scaled(20, args.scale)):
        out.append(service("be-desk-%02d" % (i + 1), "belgium", dcs, 2, DESK,
                           8, priority=1, first_dc=i))
    for i in range(scaled(30, args.scale)):
        out.append(service("be-portal-%02d" % (i + 1), "belgium", dcs, 2,
                           DESK, 8, priority=5, first_dc=i))
    out.append(service("be-registry", "belgium", dcs,
                       scaled(7, args.scale, 2), REGISTRY,
                       2 * scaled(7, args.scale, 2), priority=3))
    out.append(service("be-reporting", "belgium", dcs,
                       scaled(4, args.scale, 2), REGISTRY,
                       2 * scaled(4, args.scale, 2), priority=8,
                       deadline_ms=2000))
    return out


def costa_rica(args):
    dcs = ["cr1", "cr2", "cr3"]
    out = []
    for i in range(scaled(20, args.scale)):
        out.append(service("cr-kitchen-%02d" % (i + 1), "costa-rica", dcs, 2,
                           DESK, 8, mode="coverage", deadline_ms=1000,
                           priority=1, first_dc=i))
    for i in range(scaled(30, args.scale)):
        out.append(service("cr-purchasing-%02d" % (i + 1), "costa-rica", dcs,
                           2, DESK, 8, mode="coverage", deadline_ms=1000,
                           priority=3, first_dc=i))
    for name, priority in (("cr-booking", 3), ("cr-bakery", 5)):
        count = scaled(3, args.scale, 2)
        out.append(service(name, "costa-rica", dcs, count, BOOKING,
                           2 * count, mode="coverage", deadline_ms=1000,
                           priority=priority))
    return out


def fanout(args):
    dcs = ["be1", "be2", "be3", "be4"][:args.data_centres]
    limits = (args.slots, args.connections, args.connect_cost_us)
    return [service("fanout", "belgium", dcs, args.fanout * args.replicas,
                    limits, args.fanout, replicas=args.replicas,
                    deadline_ms=args.deadline_ms)]


class Market:
    def __init__(self, services, make_record, change_record, region):
        self.services = services
        self.make_record = make_record
        self.change_record = change_record
        self.region = region


DEPLOYMENTS = {
    "belgium": Market(belgium, repair_order, change_order, "be"),
    "costa-rica": Market(costa_rica, booking, change_booking, "cr"),
}


def records(rng, market, name, count):
    """The records of all versions, in order of creation."""
    out = []
    live = []
    serial = 0

    def add(version):
        nonlocal serial
        serial += 1
        sort, body = market.make_record(rng, serial)
        record = {"key": "%s/%07d" % (name, serial), "from": version,
                  "to": None, "sort": sort, "body": body}
        out.append(record)
        live.append(record)

    for _ in range(count):
        add(1)
    for version in range(2, VERSIONS + 1):
        for i, old in enumerate(list(live)):
            if rng.random() >= CHANGED_RATIO:
                continue
            old["to"] = version
            new = dict(old, to=None,
                       body=market.change_record(rng, old["body"]))
            new["from"] = version
            out.append(new)
            live[i] = new
        for old in [r for r in live if rng.random() < REMOVED_RATIO]:
            if old["from"] == version:
                continue
            old["to"] = version
            live.remove(old)
        for _ in range(round(count * ADDED_RATIO)):
            add(version)
    return out


def write_records(path, rows):
    with open(path, "w", encoding="utf-8") as out:
        for row in rows:
            json.dump(row, out, ensure_ascii=False, separators=(",", ":"))
            out.write("\n")


def read_ports(path):
    """A list of ports in server order, or a dict by server name if the file
    has the lines that bench-backend prints."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    by_server = {}
    for line in text.splitlines():
        if line.startswith("{"):
            item = json.loads(line)
            if "server" in item and "port" in item:
                by_server[item["server"]] = item["port"]
    if by_server:
        return by_server
    return [int(word) for word in re.split(r"[\s,]+", text.strip())]


def server_rows(args, services):
    ports = read_ports(args.ports) if args.ports else None
    out = []
    for item in services:
        slots, connections, connect_cost_us = item["limits"]
        for i, data_centre in enumerate(item["data_centres"]):
            name = "%s-%s" % (item["name"], i + 1)
            if isinstance(ports, dict):
                port = ports.get(name, 0)
            elif ports:
                port = ports[len(out)]
            else:
                port = args.base_port + len(out) if args.base_port else 0
            out.append({
                "server": name, "service": item["name"],
                "data": item["name"] + ".jsonl",
                "data_centre": data_centre, "port": port,
                "index": i, "servers": len(item["data_centres"]),
                "replicas": item["replicas"], "shards": item["shards"],
                "versions": [args.version], "slots": slots,
                "connections": connections,
                "connect_cost_us": connect_cost_us,
                "service_us": args.service_us,
                "service_random_us": args.service_random_us,
                "args": ["--servers",
                         os.path.join(args.out, "servers.json"),
                         "--only", name],
            })
    return out


def sheet(columns, rows):
    return {"columns": columns, "rows": rows}


def table(args, market, services, servers):
    tunables = []
    for item in args.tunable:
        name, _, value = item.partition("=")
        tunables.append([name, int(value)])
    return {
        "markets": sheet(["name", "region"],
                         [[services[0]["market"], market.region]]),
        "services": sheet(
            ["name", "market", "mode", "deadline_ms", "priority"],
            [[s["name"], s["market"], args.mode or s["mode"],
              s["deadline_ms"], s["priority"]] for s in services]),
        "servers": sheet(
            ["name", "service", "data_centre", "address", "replica_set",
             "slots", "connections"],
            [[s["server"], s["service"], s["data_centre"],
              "%s:%d" % (LOOPBACK, s["port"]), replica_set(s), s["slots"],
              s["connections"]] for s in servers]),
        "tunables": sheet(["name", "value"], tunables),
    }


def replica_set(server):
    """The replica set of a server, or "" if servers do not divide evenly into
    sets that hold the same shards."""
    if server["servers"] % server["replicas"]:
        return ""
    return "set-%d" % (server["index"] // server["replicas"] + 1)


def write_json(path, value):
    with open(path, "w", encoding="utf-8") as out:
        json.dump(value, out, ensure_ascii=False, indent=1)
        out.write("\n")


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS),
                        default="belgium")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scale", type=float, default=1.0,
                        help="size of the deployment; 1 is full size")
    parser.add_argument("--out", required=True)
    parser.add_argument("--records", type=int,
                        help="records per service in version 1; default 300, "
                             "or 10 per shard with --fanout if that is more")
    parser.add_argument("--record-bytes", type=int, default=0,
                        help="add so many bytes to each record's body")
    parser.add_argument("--version", type=int, default=1,
                        help="snapshot version that servers hold at startup")
    parser.add_argument("--base-port", type=int, default=0)
    parser.add_argument("--ports", metavar="FILE",
                        help="ports in server order, or the lines that "
                             "bench-backend printed")
    parser.add_argument("--table-only", action="store_true",
                        help="write table.json and servers.json only")
    parser.add_argument("--tunable", action="append", default=[],
                        metavar="NAME=VALUE")
    parser.add_argument("--mode", choices=["latency", "coverage"],
                        help="mode of all services")
    parser.add_argument("--service-us", type=int, default=2000)
    parser.add_argument("--service-random-us", type=int, default=0,
                        help="mean of the exponential part of the service "
                             "time")
    parser.add_argument("--fanout", type=int,
                        help="generate one service with this many shards, "
                             "each on its own servers")
    parser.add_argument("--replicas", type=int, default=2)
    parser.add_argument("--data-centres", type=int, default=4)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--connections", type=int, default=25)
    parser.add_argument("--connect-cost-us", type=int, default=1000)
    parser.add_argument("--deadline-ms", type=int, default=500)
    return parser.parse_args()


def main():
    args = arguments()
    market = DEPLOYMENTS[args.deployment]
    services = fanout(args) if args.fanout else market.services(args)
    if args.records is None:
        args.records = max(300, 10 * (args.fanout or 0))
    servers = server_rows(args, services)
    os.makedirs(args.out, exist_ok=True)
    if not args.table_only:
        for item in services:
            rng = random.Random("%d/%s" % (args.seed, item["name"]))
            rows = records(rng, market, item["name"], args.records)
            if args.record_bytes:
                for row in rows:
                    row["body"]["note"] = "x" * args.record_bytes
            write_records(os.path.join(args.out, item["name"] + ".jsonl"),
                          rows)
    write_json(os.path.join(args.out, "servers.json"), {"servers": servers})
    write_json(os.path.join(args.out, "table.json"),
               table(args, market, services, servers))


if __name__ == "__main__":
    main()
