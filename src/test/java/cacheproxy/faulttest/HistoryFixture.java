package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.Violations;
import java.util.ArrayList;
import java.util.List;

/** Builds a history event by event and runs checkers over it. */
final class HistoryFixture {
    /** The events so far, in any order. */
    final List<Event> events = new ArrayList<>();

    /** Adds an event that was noticed at once. */
    HistoryFixture at(double ms, String endpoint, String type, String id, String detail, double value) {
        events.add(new Event((long) (ms * 1000), 0, endpoint, type, id, detail, value));
        return this;
    }

    /**
     * Adds ten requests a second at each of three proxies over ten seconds: reads and writes, each served in 5 ms by n1
     * to n4 in turn.
     */
    HistoryFixture addValidRequests() {
        at(0, "p1", Event.PROCESS_STARTED, "", "", 1)
                .at(0, "p2", Event.PROCESS_STARTED, "", "", 1)
                .at(0, "p3", Event.PROCESS_STARTED, "", "", 1);
        for (int i = 0; i < 300; i++) {
            double ms = 10 + i * 33.0;
            String proxy = "p" + (1 + i % 3);
            boolean write = i % 10 == 0;
            at(ms, proxy, Event.REQUEST_SENT, "r" + i, write ? "keyed" : "read", 1000);
            if (write) {
                at(ms + 4, "origin", Event.WRITE_APPLIED, "r" + i, "", 0);
            } else {
                at(ms + 2, "n" + (1 + i % 4), Event.COMMAND_ARRIVED, "r" + i, "", 0);
            }
            at(ms + 5, proxy, Event.RESPONSE_RECEIVED, "r" + i, "served", 0);
        }
        return this;
    }

    /** The history of a run with one fault: p2 is cut off from discovery. */
    RunHistory run() throws Exception {
        return new RunHistory(ScenarioReader.parse("s", """
                [fleet]
                proxies = 3
                nodes = 4
                node_per_second = 10
                [load]
                seconds = 10
                [[fault]]
                kind = "link"
                who = "p2"
                to = "discovery"
                lose = 1
                """, null), events);
    }

    /** What a checker finds in the history. */
    Violations violations(Checker checker) throws Exception {
        return checker.check(run());
    }
}
