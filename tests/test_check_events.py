"""Runs scripts/check-events.sh on a small tree with one difference each."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPT = (pathlib.Path(__file__).resolve().parent.parent
          / "scripts" / "check-events.sh")
CODE = """#define LOG_MODULE "table"
const char *const table_alarm_names[] = {
	[TABLE_ALARM_REFUSED] = "table_refused",
};
void f(void)
{
	LOG_INFO("in_force", LOG_U64("revision", 1));
	LOG_WARN(
		"call_failed", LOG_TEXT("key", "x"));
}
"""
COUNTERS = """#define COUNTER_LIST(X) \\
	X(searches, METRIC_COUNTER, "searches_total", \\
	  "searches " "taken")
"""
EVENTS = """# Page

## Log events

| event | module | level | meaning | action |
| --- | --- | --- | --- | --- |
| `in_force` | table | info | It is. | None. |
| `call_failed` | table | warn | It did. | See it. |

## Alarms

| alarm | meaning | action |
| --- | --- | --- |
| `table_refused` | It is invalid. | Correct it. |
"""
METRICS = """# Metrics

<!-- begin of the list of counters.h -->
| name | kind | meaning |
| --- | --- | --- |
| `searches_total` | counter | searches taken |
<!-- end of the list of counters.h -->
"""


class CheckEvents(unittest.TestCase):
    def check(self, *options, code=CODE, counters=COUNTERS, events=EVENTS,
              metrics=METRICS):
        with tempfile.TemporaryDirectory() as name:
            root = pathlib.Path(name)
            pages = root / "docs" / "operators"
            pages.mkdir(parents=True)
            (root / "table.c").write_text(code)
            (root / "counters.h").write_text(counters)
            (pages / "events.md").write_text(events)
            (pages / "metrics.md").write_text(metrics)
            done = subprocess.run(["sh", SCRIPT, "--root", root, *options],
                                  capture_output=True, text=True)
            self.assertEqual(done.stderr, "")
            return (done.returncode, done.stdout,
                    (pages / "metrics.md").read_text())

    def assert_found(self, text, **files):
        status, out, _ = self.check(**files)
        self.assertEqual(status, 1)
        self.assertIn(text, out)

    def test_agree(self):
        self.assertEqual(self.check()[:2], (0, ""))

    def test_event_missing_on_the_page(self):
        self.assert_found("event new is not on", code=CODE.replace(
            "}\n", "}\nvoid g(void) { LOG_ERROR(\"new\"); }\n"))

    def test_event_not_in_the_code(self):
        self.assert_found("names event in_force", code=CODE.replace(
            "in_force", "call_failed"))

    def test_other_level(self):
        self.assert_found("in_force is", code=CODE.replace(
            "LOG_INFO", "LOG_ERROR"))

    def test_other_module(self):
        self.assert_found("in_force is", code=CODE.replace(
            "\"table\"", "\"tables\""))

    def test_name_is_no_constant(self):
        self.assert_found("no constant", code=CODE.replace(
            "LOG_INFO(\"in_force\"", "LOG_INFO(name"))

    def test_no_action(self):
        self.assert_found("lacks", events=EVENTS.replace("None.", ""))

    def test_event_twice(self):
        row = "| `in_force` | table | info | It is. | None. |\n"
        self.assert_found("stands twice", events=EVENTS.replace(row, row * 2))

    def test_alarm_missing(self):
        self.assert_found("alarm table_refused is not on",
                          events=EVENTS.replace("`table_refused`", "`other`"))

    def test_alarm_not_in_the_code(self):
        self.assert_found("names alarm table_refused",
                          code=CODE.replace("\"table_refused\"", "\"new\""))

    def test_metric_missing(self):
        self.assert_found("metric new_total is not on",
                          counters=COUNTERS.replace("searches_total",
                                                    "new_total"))

    def test_metric_with_other_words(self):
        self.assert_found("differs", counters=COUNTERS.replace(
            "taken", "refused"))

    def test_write_metrics(self):
        counters = COUNTERS.replace("taken", "refused")
        status, out, page = self.check("--write-metrics", counters=counters)
        self.assertEqual((status, out), (0, ""))
        self.assertEqual(page, METRICS.replace("taken", "refused"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
