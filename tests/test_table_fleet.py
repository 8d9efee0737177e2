"""Tests of how a fleet distributes the table: few instances read it from the
platform, and the non_readers get it from them."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "bench")
)

import experiment  # noqa: E402

BUILD = None
DATA_CENTRES = 2
INSTANCES = 8
READERS = 2 * DATA_CENTRES


def table(n_servers=4, **tunables):
    rows = [
        [f"server-{i}", "desk", f"dc-{i % DATA_CENTRES}", f"127.0.0.1:{i + 1}"]
        for i in range(n_servers)
    ]
    return {
        "markets": {"columns": ["name"], "rows": [["be"]]},
        "services": {"columns": ["name", "market"], "rows": [["desk", "be"]]},
        "servers": {
            "columns": ["name", "service", "data_centre", "address"],
            "rows": rows,
        },
        "tunables": {
            "columns": ["name", "value"],
            "rows": [[name, value] for name, value in tunables.items()],
        },
    }


class Fleet(unittest.TestCase):
    def start(self, *options):
        out = tempfile.TemporaryDirectory()
        self.addCleanup(out.cleanup)
        bench = experiment.Bench("table_fleet", BUILD, out.name)
        self.addCleanup(bench.finish)
        platform = bench.platform(*options)
        placements = [
            (f"i{n}", f"dc-{n % DATA_CENTRES}") for n in range(INSTANCES)
        ]
        return platform, bench.instances(platform, placements)

    def tables(self, instances):
        return [instance.status()["table"] for instance in instances]

    def wait_in_force(self, instances, revision):
        experiment.wait_until(
            f"revision {revision} in force",
            lambda: all(
                t and t["revision"] == revision and t["confirmed"]
                for t in self.tables(instances)
            ),
        )

    def test_changes_are_pushed_and_few_watch(self):
        platform, instances = self.start()
        self.wait_in_force(instances, platform.publish(table()))
        for lease_ms in (700, 800, 900):
            revision = platform.publish(table(lease_ms=lease_ms))
            self.wait_in_force(instances, revision)
        readers = [t["reader"] for t in self.tables(instances)]
        self.assertEqual(sum(readers), READERS)
        delta_counts = [
            instance.metrics()["garnetreach_table_by_delta_total"]
            for instance in instances
        ]
        for reader, count in zip(readers, delta_counts):
            if not reader:
                self.assertGreater(count, 0)
        # Instances that read the table from the platform and those that got
        # changed rows from a peer have the same digest.
        digests = {t["digest"] for t in self.tables(instances)}
        self.assertEqual(len(digests), 1)

    def test_invalid_table_is_told_by_all(self):
        platform, instances = self.start()
        valid_revision = platform.publish(table())
        self.wait_in_force(instances, valid_revision)
        invalid_table = table()
        invalid_table["servers"]["rows"][1][3] = "host:1"
        refused_revision = platform.publish(invalid_table)
        experiment.wait_until(
            "the table refused everywhere",
            lambda: all(
                i.status().get("table_refused", {}).get("revision")
                == refused_revision
                for i in instances
            ),
        )
        for instance in instances:
            status = instance.status()
            self.assertEqual(status["table"]["revision"], valid_revision)
            self.assertEqual(
                status["table_refused"]["subject"],
                "servers row 2 column address",
            )
            self.assertEqual(status["alarms"][0]["alarm"], "table_refused")
        self.wait_in_force(instances, platform.publish(table(lease_ms=800)))
        self.assertNotIn("table_refused", instances[0].status())

    def test_platform_down_then_a_change(self):
        platform, instances = self.start()
        self.wait_in_force(instances, platform.publish(table()))
        platform.state(down=True)
        experiment.wait_until(
            "a failed call",
            lambda: any(
                t["platform_failures"] for t in self.tables(instances)
            ),
        )
        revision = platform.publish(table(lease_ms=800))
        platform.state(down=False)
        self.wait_in_force(instances, revision)

    def test_list_reaches_those_that_do_not_read(self):
        platform, instances = self.start()
        self.wait_in_force(instances, platform.publish(table()))
        non_readers = [
            i for i in instances if not i.status()["table"]["reader"]
        ]
        calls = "garnetreach_platform_calls_total"
        before = [i.metrics()[calls] for i in non_readers]
        rows = [i.row() for i in instances]
        rows[0]["state"] = "leaving"
        platform.instances(rows)
        experiment.wait_until(
            "the leaving instance",
            lambda: all(
                m["status"] == "leaving"
                for i in instances[1:]
                for m in i.status()["members"]
                if m["instance"] == "i0"
            ),
        )
        readers = {i.instance for i in instances} - {
            i.instance for i in non_readers
        }
        # The instance that replaces a leaving reader may call the platform.
        after = [i.metrics()[calls] for i in non_readers]
        new_callers = sum(a > b for a, b in zip(after, before))
        self.assertLessEqual(new_callers, 1 if "i0" in readers else 0)

    def test_parts(self):
        platform, instances = self.start("--part-bytes", "2000")
        self.wait_in_force(instances, platform.publish(table(100)))
        revision = platform.publish(table(101))
        self.wait_in_force(instances, revision)
        self.assertNotIn("table_refused", instances[0].status())

    def test_stale_platform_never_reverts(self):
        platform, instances = self.start()
        old = platform.publish(table())
        self.wait_in_force(instances, old)
        revision = platform.publish(table(lease_ms=800))
        self.wait_in_force(instances, revision)
        platform.state(serve_old=old)
        # After a failed call the readers read the whole table again.
        platform.state(down=True)
        experiment.wait_until(
            "a failed call",
            lambda: any(
                t["platform_failures"] for t in self.tables(instances)
            ),
        )
        platform.state(down=False)
        experiment.wait_until(
            "the alarm",
            lambda: any(
                alarm["alarm"] == "platform_behind"
                for i in instances
                for alarm in i.status()["alarms"]
            ),
        )
        for instance in instances:
            self.assertEqual(instance.status()["table"]["revision"], revision)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
