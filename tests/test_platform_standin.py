"""Tests the platform stand-in against the protocol its readers use."""

import json
import pathlib
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "bench"))

import experiment  # noqa: E402

PROGRAM = None


class StandIn(unittest.TestCase):
    def start(self, *options):
        out = tempfile.TemporaryDirectory()
        self.addCleanup(out.cleanup)
        platform = experiment.Platform(
            "platform", [PROGRAM, *options], out.name
        )
        self.addCleanup(self.stop, platform)
        return platform

    def stop(self, platform):
        log = platform.log_path
        self.assertEqual(platform.stop(), 0, log.read_text())

    def get(self, platform, key, query=""):
        status, headers, body = experiment.request(
            platform.port, "GET", f"/v1/values/{key}{query}"
        )
        revision = int(headers.get("X-Revision", 0))
        return status, revision, body.decode()

    def wait_in_background(self, platform, key, query):
        """Starts a watch; returns once the stand-in holds it."""
        result = []
        thread = threading.Thread(
            target=lambda: result.append(self.get(platform, key, query))
        )
        thread.start()
        self.addCleanup(thread.join)
        experiment.wait_until(
            "the watch", lambda: platform.counters()["waiting"] == 1
        )
        return thread, result


class Values(StandIn):
    def test_revisions_grow_with_every_change(self):
        platform = self.start()
        self.assertEqual(self.get(platform, "a")[0], 404)
        first = platform.put("a", "one")["revision"]
        second = platform.put("b", "two")["revision"]
        self.assertLess(first, second)
        self.assertEqual(self.get(platform, "a"), (200, first, "one"))
        self.assertEqual(
            self.get(platform, "a", f"?after={first}&wait_ms=0")[0], 304
        )
        self.assertEqual(
            self.get(platform, "a", f"?after={first - 1}&wait_ms=30000")[0],
            200,
        )

    def test_values_have_a_limit(self):
        platform = self.start()
        max_bytes = 1024 * 1024
        status = experiment.request(
            platform.port, "PUT", "/control/values/a", b"x" * (max_bytes + 1)
        )[0]
        self.assertEqual(status, 413)
        platform.put("a", b"x" * max_bytes)
        self.assertEqual(len(self.get(platform, "a")[2]), max_bytes)

    def test_readers_cannot_write(self):
        platform = self.start()
        for method in "PUT", "POST", "DELETE":
            status = experiment.request(
                platform.port, method, "/v1/values/a", "x"
            )[0]
            self.assertNotEqual(status, 200)
        self.assertEqual(self.get(platform, "a")[0], 404)


class Watches(StandIn):
    def test_a_watch_wakes_on_publish(self):
        platform = self.start()
        first = platform.put("a", "one")["revision"]
        thread, result = self.wait_in_background(
            platform, "a", f"?after={first}&wait_ms=30000"
        )
        platform.put("b", "unrelated")
        self.assertEqual(platform.counters()["waiting"], 1)
        second = platform.put("a", "two")["revision"]
        thread.join()
        self.assertEqual(result, [(200, second, "two")])
        self.assertEqual(platform.counters()["waiting"], 0)

    def test_a_watch_ends_without_a_change(self):
        platform = self.start()
        first = platform.put("a", "one")["revision"]
        self.assertEqual(
            self.get(platform, "a", f"?after={first}&wait_ms=1")[0], 304
        )

    def test_a_reader_that_goes_away_waits_no_more(self):
        """A watch must end when its reader disconnects.

        Otherwise the stand-in counts the reader until wait_ms is over, and
        experiments see too many readers.
        """
        platform = self.start()
        first = platform.put("a", "one")["revision"]
        conn = experiment.http.client.HTTPConnection(
            "127.0.0.1", platform.port
        )
        conn.request("GET", f"/v1/values/a?after={first}&wait_ms=30000")
        experiment.wait_until(
            "the watch", lambda: platform.counters()["waiting"] == 1
        )
        conn.close()
        experiment.wait_until(
            "its end", lambda: platform.counters()["waiting"] == 0
        )


class Rates(StandIn):
    def test_the_rate_is_limited_and_counted(self):
        platform = self.start("--rate", "0.001", "--burst", "3")
        first = platform.put("a", "one")["revision"]
        thread, _ = self.wait_in_background(
            platform, "a", f"?after={first}&wait_ms=30000"
        )
        self.assertEqual(self.get(platform, "a")[0], 200)
        self.assertEqual(self.get(platform, "missing")[0], 404)
        status, headers, _ = experiment.request(
            platform.port, "GET", "/v1/values/a"
        )
        self.assertEqual(status, 429)
        self.assertGreater(int(headers["Retry-After-Ms"]), 0)
        platform.put("a", "two")
        thread.join()
        counters = platform.counters()
        self.assertEqual(counters["calls"], 4)
        self.assertEqual(counters["by_key"]["a"], {"200": 2, "429": 1})
        self.assertEqual(counters["by_key"][""], {"404": 1})


class Tables(StandIn):
    def test_a_small_table_is_one_value(self):
        platform = self.start()
        revision = platform.publish({"servers": {}})
        self.assertEqual(
            self.get(platform, "table"), (200, revision, '{"servers": {}}')
        )

    def test_a_table_from_a_file(self):
        platform = self.start()
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write("// a table\n{}")
            file.flush()
            platform.publish({"table_file": file.name})
        self.assertEqual(self.get(platform, "table")[2], "// a table\n{}")

    def test_parts_carry_their_digest(self):
        platform = self.start("--part-bytes", "1")
        revision = platform.publish("aa")
        manifest = json.loads(self.get(platform, "table")[2])["manifest"]
        self.assertEqual(
            manifest,
            [
                {"key": f"table.{revision}.{i}", "digest": "e6c632b61e964e1f"}
                for i in (1, 2)
            ],
        )

    def read_table(self, platform):
        manifest = json.loads(self.get(platform, "table")[2])["manifest"]
        parts = [self.get(platform, row["key"]) for row in manifest]
        self.assertEqual({status for status, _, _ in parts}, {200})
        return "".join(text for _, _, text in parts)

    def test_a_manifest_switches_all_parts_at_once(self):
        """A reader must not combine parts of two tables.

        A table in parts is replaced while a reader fetches them. If parts were
        changed in place, it would get the head of one and the tail of another.
        """
        platform = self.start("--part-bytes", "100", "--rate", "1000000")
        tables = [f"{i:04d}" * 100 for i in range(25)]
        platform.publish(tables[0])

        def publish_all():
            for table in tables[1:]:
                platform.publish(table)

        thread = threading.Thread(target=publish_all)
        thread.start()
        seen = []
        while thread.is_alive():
            seen.append(self.read_table(platform))
        thread.join()
        seen.append(self.read_table(platform))
        self.assertLessEqual(set(seen), set(tables))
        self.assertEqual(seen[-1], tables[-1])
        self.assertEqual(seen, sorted(seen))


class Faults(StandIn):
    def test_down(self):
        platform = self.start()
        first = platform.put("a", "one")["revision"]
        thread, result = self.wait_in_background(
            platform, "a", f"?after={first}&wait_ms=30000"
        )
        platform.state(down=True)
        thread.join()
        self.assertEqual(result[0][0], 503)
        self.assertEqual(self.get(platform, "a")[0], 503)
        platform.state(down=False)
        self.assertEqual(self.get(platform, "a")[0], 200)

    def test_stale(self):
        platform = self.start()
        first = platform.put("a", "one")["revision"]
        platform.state(stale=True)
        second = platform.put("a", "two")["revision"]
        platform.put("new", "three")
        self.assertEqual(self.get(platform, "a"), (200, first, "one"))
        self.assertEqual(self.get(platform, "new")[0], 404)
        thread, result = self.wait_in_background(
            platform, "a", f"?after={first}&wait_ms=30000"
        )
        platform.state(stale=False)
        thread.join()
        self.assertEqual(result, [(200, second, "two")])

    def test_an_old_revision(self):
        platform = self.start()
        first = platform.put("a", "one")["revision"]
        second = platform.put("a", "two")["revision"]
        platform.state(serve_old=first)
        self.assertEqual(self.get(platform, "a"), (200, first, "one"))
        self.assertEqual(
            self.get(platform, "a", f"?after={second}&wait_ms=1")[0], 304
        )
        platform.state(serve_old=None)
        self.assertEqual(self.get(platform, "a"), (200, second, "two"))

    def test_flapping(self):
        platform = self.start()
        revisions = [platform.put("a", t)["revision"] for t in ("one", "two")]
        platform.state(flap=revisions)
        seen = [self.get(platform, "a")[2] for _ in range(4)]
        self.assertEqual(seen, ["one", "two", "one", "two"])

    def test_unknown_faults_are_refused(self):
        platform = self.start()
        with self.assertRaises(experiment.Failed):
            platform.state(sideways=True)

    def test_the_instance_list_lags(self):
        platform = self.start("--list-lag-ms", "30000")
        platform.instances([{"instance": "a"}])
        self.assertEqual(self.get(platform, "instances")[0], 404)
        platform.state(list_lag_ms=0)
        platform.instances([{"instance": "b"}])
        self.assertEqual(
            json.loads(self.get(platform, "instances")[2]),
            [{"instance": "b"}],
        )


if __name__ == "__main__":
    PROGRAM = sys.argv.pop(1)
    unittest.main(verbosity=2)
