package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fakes.LoadClient.LoadRequest;
import cacheproxy.fakes.ScriptedServer;
import cacheproxy.fakes.SlowStartMonitor;
import org.junit.jupiter.api.Test;

/** Interaction of pools: fallback by the rules on idempotency, the shared slow start budget, retry budgets, backups. */
class PoolsTest {
    private static final String SITE = "[site]\nwarm_up_ms = 20000\nfall_ms = 300\n" + DaemonHarness.LIMITS;
    /** Classes with deadlines that are short enough for a test to wait for them. */
    private static final String SHORT =
            DaemonHarness.CLASSES.replace("20000", "2000").replace("10000", "1000");

    private static LoadRequest read(int index) {
        return new LoadRequest("k/" + index, "c=page", null, null);
    }

    @Test
    void warmsUpRestartedServerForBothOfItsPoolsTogether() throws Exception {
        FakeFleet fleet = new FakeFleet(3);
        FakeCacheServer shared = fleet.nodes.get(0);
        SlowStartMonitor slowStart = new SlowStartMonitor(100, 0.3, 20000, 300);
        shared.slowStartMonitor(slowStart);
        String pools = DaemonHarness.pool("a", fleet, "", fleet.nodes.get(1))
                + DaemonHarness.pool("b", fleet, "", fleet.nodes.get(2));
        String server = DaemonHarness.servers("capacity = 100", shared);
        pools = pools.replace("[pool.origin]", server + "[pool.origin]");
        try (DaemonHarness harness = new DaemonHarness(
                fleet,
                SITE
                        + DaemonHarness.CLASSES
                        + DaemonHarness.MAIN_LISTENER
                        + pools
                        + DaemonHarness.route("a", "prefix = \"a/\"", "a")
                        + DaemonHarness.route("b", "prefix = \"b/\"", "b"))) {
            shared.kill();
            // Both pools detect that it is down.
            harness.sendRequests(400, 4, 2, i -> DaemonHarness.read((i % 2 == 0 ? "a/" : "b/") + i));
            shared.restart();
            LoadClient.LoadResult account = null;
            for (int round = 0; round == 0 || slowStart.requestsWhileCold() < 60; round++) {
                int from = round * 2000;
                account = harness.sendRequests(
                        2000, 8, 4, i -> DaemonHarness.read((i % 2 == 0 ? "a/" : "b/") + (from + i)));
                assertThat(account.errors).isEmpty();
            }
            assertThat(slowStart.requestsWhileCold())
                    .as("requests to the cold server")
                    .isGreaterThanOrEqualTo(60);
            // A few requests are sent in addition, before its first connection shows that it has restarted.
            assertThat(slowStart.worstOverload()).isLessThan(3);
        }
    }

    @Test
    void fillsColdFallbackWithinBudgetAndRejectsTheRestAtOnceWhenFirstPoolIsDown() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        FakeCacheServer first = fleet.nodes.get(0);
        FakeCacheServer spare = fleet.nodes.get(1);
        SlowStartMonitor slowStart = new SlowStartMonitor(200, 0.3, 20000, 300);
        spare.slowStartMonitor(slowStart);
        String head = SITE
                + DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.poolWithoutOrigin("a", "", first);
        try (DaemonHarness harness = new DaemonHarness(fleet, head + DaemonHarness.route("all", "", "a"))) {
            // The spare pool is added by a reload, so that its server is regarded as new.
            slowStart.recordStart(System.nanoTime() / 1e6);
            harness.load(head
                    + DaemonHarness.poolWithoutOrigin("spare", "", spare).replace("dial", "capacity = 200\ndial")
                    + DaemonHarness.route("all", "", "a", "spare"));
            first.kill();
            LoadClient.LoadResult account = harness.sendRequests(3000, 8, 4, PoolsTest::read);
            assertThat(account.errors).isEmpty();
            assertThat(account.missed)
                    .as("answered by the spare server, which has none of the keys")
                    .isPositive();
            assertThat(account.refused).isPositive();
            assertThat(account.refusedWithoutRetryAfter).isZero();
            assertThat(account.failed).isZero();
            assertThat(slowStart.worstOverload()).isLessThan(3);
        }
    }

    @Test
    void sendsTimedOutReadToNextPool() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        try (DaemonHarness harness = new DaemonHarness(
                        fleet,
                        SHORT
                                + DaemonHarness.MAIN_LISTENER
                                + DaemonHarness.poolWithoutOrigin(
                                        "a", "retry_share = 0\nretries_always = 0", fleet.nodes.get(0))
                                + DaemonHarness.pool("b", fleet, "", fleet.nodes.get(1))
                                + DaemonHarness.route("all", "", "a", "b"));
                DaemonHarness.ManualClient client = harness.connect()) {
            fleet.nodes.get(0).muted(true);
            assertThat(client.send("mg k v\r\n").lines(2)).containsExactly("VA 10", "value of k");
            assertThat(fleet.nodes.get(0).commands()).isPositive();
        }
    }

    @Test
    void sendsTimedOutUnsafeWriteNowhereElse() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        try (DaemonHarness harness = new DaemonHarness(
                        fleet,
                        SHORT
                                + DaemonHarness.MAIN_LISTENER
                                + DaemonHarness.poolWithoutOrigin("a", "", fleet.nodes.get(0))
                                + DaemonHarness.poolWithoutOrigin("b", "", fleet.nodes.get(1))
                                + DaemonHarness.route("all", "", "a", "b"));
                DaemonHarness.ManualClient client = harness.connect()) {
            fleet.nodes.get(0).muted(true);
            assertThat(client.send("ms k 2 Pc=submit\r\nhi\r\n").line()).isEqualTo("SERVER_ERROR failed");
            assertThat(fleet.nodes.get(0).commands()).isEqualTo(1);
            assertThat(fleet.nodes.get(1).commands()).isZero();
        }
    }

    @Test
    void sendsUnsafeWriteThatCannotHaveRunToNextPool() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        try (DaemonHarness harness = new DaemonHarness(
                        fleet,
                        SHORT
                                + DaemonHarness.MAIN_LISTENER
                                + DaemonHarness.poolWithoutOrigin("a", "", fleet.nodes.get(0))
                                + DaemonHarness.poolWithoutOrigin("b", "", fleet.nodes.get(1))
                                + DaemonHarness.route("all", "", "a", "b"));
                DaemonHarness.ManualClient client = harness.connect()) {
            fleet.nodes.get(0).kill();
            assertThat(client.send("ms k 2 Pc=submit\r\nhi\r\n").line()).isEqualTo("HD");
            assertThat(fleet.ledger.effectCount("hi")).isEqualTo(1);
        }
    }

    @Test
    void sendsKeyedWriteThatMayHaveRunOnlyToPoolOfSameDedupGroup() throws Exception {
        for (boolean sameGroup : new boolean[] {true, false}) {
            FakeFleet fleet = new FakeFleet(2);
            ScriptedServer resets = new ScriptedServer(connection -> {
                connection.readCommand();
                connection.readLine();
                connection.reset();
            });
            String first =
                    "[[pool]]\nname = \"a\"\nnodes = \"plain\"\ndedup_group = \"g\"\n[[pool.server]]\nname = \"r\"\n"
                            + "dial = \"" + resets.dial() + "\"\n";
            try (resets;
                    DaemonHarness harness = new DaemonHarness(
                            fleet,
                            SHORT.replace("60000", "5000")
                                    + DaemonHarness.MAIN_LISTENER
                                    + first
                                    + DaemonHarness.poolWithoutOrigin(
                                            "b",
                                            "dedup_group = \"" + (sameGroup ? "g" : "h") + "\"",
                                            fleet.nodes.get(1))
                                    + DaemonHarness.route("all", "", "a", "b"));
                    DaemonHarness.ManualClient client = harness.connect()) {
                assertThat(client.send("ms k 2 Pc=publish,k=once\r\nhi\r\n").line())
                        .isEqualTo(sameGroup ? "HD" : "SERVER_ERROR failed");
                assertThat(fleet.nodes.get(1).commands()).isEqualTo(sameGroup ? 1 : 0);
                assertThat(client.send("ms k 2 Pc=submit\r\nno\r\n").line()).isEqualTo("SERVER_ERROR failed");
                assertThat(fleet.ledger.effectCount("no"))
                        .as("executions of the unsafe write")
                        .isZero();
            }
        }
    }

    @Test
    void rejectsWhenRetriesAreSpentAndRecoversAfterwards() throws Exception {
        FakeFleet fleet = new FakeFleet(4);
        FakeCacheServer[] nodes = fleet.nodes.toArray(new FakeCacheServer[0]);
        try (DaemonHarness harness = new DaemonHarness(
                fleet,
                DaemonHarness.LIMITS + "second_copies = false\n" + DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER
                        + DaemonHarness.poolWithoutOrigin("a", "retry_share = 0.1\nretries_always = 0", nodes)
                        + DaemonHarness.route("all", "", "a"))) {
            for (FakeCacheServer node : nodes) {
                node.rejectNext(Integer.MAX_VALUE);
            }
            int before = 0;
            LoadClient.LoadResult account = harness.sendRequests(2000, 4, 4, PoolsTest::read);
            for (FakeCacheServer node : nodes) {
                before += node.commands();
            }
            assertThat(account.refused).isEqualTo(2000);
            assertThat(account.refusedWithoutRetryAfter).isZero();
            // At most one first attempt per request, a tenth of that in retries, and the ten retries that were saved
            // up.
            assertThat(before).isLessThanOrEqualTo(2000 + 200 + 10);
            for (FakeCacheServer node : nodes) {
                node.rejectNext(0);
                for (int i = 0; i < 200; i++) {
                    node.store("k/" + i, new byte[5]);
                }
            }
            LoadClient.LoadResult again;
            do {
                again = harness.sendRequests(200, 4, 1, PoolsTest::read);
                assertThat(again.errors).isEmpty();
            } while (again.served < 200);
        }
    }

    @Test
    void usesBackupsOnlyWhileNoOtherServerCanServe() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        FakeCacheServer primary = fleet.nodes.get(0);
        FakeCacheServer backup = fleet.nodes.get(1);
        String pool = "[[pool]]\nname = \"a\"\nnodes = \"plain\"\n" + DaemonHarness.servers("", primary)
                + DaemonHarness.servers("backup = true", backup);
        try (DaemonHarness harness = new DaemonHarness(
                fleet,
                "[site]\nwarm_up_ms = 0\n" + DaemonHarness.LIMITS + DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER
                        + pool + DaemonHarness.route("all", "", "a"))) {
            assertThat(harness.sendRequests(300, 4, 2, PoolsTest::read).missed).isEqualTo(300);
            assertThat(backup.commands()).isZero();
            primary.kill();
            LoadClient.LoadResult account = harness.sendRequests(300, 4, 2, PoolsTest::read);
            assertThat(account.errors).isEmpty();
            assertThat(backup.commands()).isPositive();
            primary.restart();
            int seen = primary.commands();
            while (primary.commands() < seen + 50) { // it stays ejected for some time first
                assertThat(harness.sendRequests(200, 4, 2, PoolsTest::read).errors)
                        .isEmpty();
            }
            int spare = backup.commands();
            assertThat(harness.sendRequests(100, 2, 1, PoolsTest::read).missed).isEqualTo(100);
            assertThat(backup.commands())
                    .as("requests to the backup after fail-back")
                    .isEqualTo(spare);
        }
    }

    @Test
    void fillsColdBackupWithinBudgetWhenAllPrimariesFailAndReturnsTheirKeys() throws Exception {
        FakeFleet fleet = new FakeFleet(3);
        FakeCacheServer spare = fleet.nodes.get(2);
        SlowStartMonitor slowStart = new SlowStartMonitor(200, 0.3, 20000, 300);
        spare.slowStartMonitor(slowStart);
        String pool = DaemonHarness.poolWithoutOrigin(
                                "a", "placement = \"nginx-hash\"", fleet.nodes.get(0), fleet.nodes.get(1))
                        .replace("dial =", "warm = true\ndial =")
                + DaemonHarness.servers("backup = true\ncapacity = 200", spare);
        try (DaemonHarness harness = new DaemonHarness(
                fleet,
                SITE
                        + DaemonHarness.CLASSES
                        + DaemonHarness.MAIN_LISTENER
                        + pool
                        + DaemonHarness.route("all", "", "a"))) {
            slowStart.recordStart(System.nanoTime() / 1e6);
            assertThat(harness.sendRequests(500, 4, 2, PoolsTest::read).errors).isEmpty();
            assertThat(spare.commands()).isZero();
            int[] before = {fleet.nodes.get(0).commands(), fleet.nodes.get(1).commands()};
            fleet.nodes.get(0).kill();
            fleet.nodes.get(1).kill();
            LoadClient.LoadResult account = harness.sendRequests(3000, 8, 4, PoolsTest::read);
            assertThat(account.errors).isEmpty();
            assertThat(account.missed)
                    .as("answered by the backup, which has none of the keys")
                    .isPositive();
            assertThat(account.refused).isPositive();
            assertThat(account.refusedWithoutRetryAfter).isZero();
            assertThat(slowStart.worstOverload()).isLessThan(3);
            fleet.nodes.get(0).restart();
            fleet.nodes.get(1).restart();
            // Requests detect that they are back. Each is cold then, and gets its keys back within the slow start
            // budget.
            for (int round = 0;
                    fleet.nodes.get(0).commands() < before[0] + 20
                            || fleet.nodes.get(1).commands() < before[1] + 20;
                    round++) {
                int from = 10_000 + round * 1000;
                assertThat(harness.sendRequests(1000, 8, 4, i -> read(from + i)).errors)
                        .isEmpty();
            }
            assertThat(slowStart.worstOverload()).isLessThan(3);
        }
    }

    @Test
    void sendsToNextPoolOrRejectsWithRetryTimeWhenPoolIsFull() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        try (DaemonHarness harness = new DaemonHarness(
                        fleet,
                        DaemonHarness.CLASSES
                                + DaemonHarness.MAIN_LISTENER
                                + DaemonHarness.poolWithoutOrigin("a", "in_hand = 1", fleet.nodes.get(0))
                                + DaemonHarness.poolWithoutOrigin("b", "per_second = 10", fleet.nodes.get(1))
                                + DaemonHarness.route("all", "", "a", "b"));
                DaemonHarness.ManualClient first = harness.connect();
                DaemonHarness.ManualClient second = harness.connect();
                DaemonHarness.ManualClient third = harness.connect()) {
            fleet.nodes.get(0).muted(true);
            first.send("mg k1 v\r\n");
            while (harness.daemon.pendingRequests() == 0) {
                Thread.onSpinWait();
            }
            assertThat(second.send("mg k2 v\r\n").line()).isEqualTo("EN");
            assertThat(third.send("mg k3 v\r\n").line()).matches("SERVER_ERROR busy [1-9]\\d*");
        }
    }
}
