package cacheproxy.fakes;

import cacheproxy.fakes.LoadClient.Ask;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The demo's file and its requests. */
public final class Demo {
    public static final int NODES = 8;
    /** A stalled node stands still for so long, in milliseconds. */
    public static final double STALL_MS = 150;

    private static final int KEYS = 2000;

    private Demo() {}

    /** A daemon's file for this fleet, on an ephemeral port; every kind of request of the README is in it. */
    public static String file(FakeFleet fleet) {
        return String.join(
                "\n",
                "[site]",
                "name = \"demo\"",
                "warm_up_ms = 2000",
                "",
                "[[class]]",
                "name = \"page\"",
                "effect = \"safe\"",
                "aim_ms = 250",
                "deadline_ms = 1000",
                "",
                "[[class]]",
                "name = \"publish\"",
                "effect = \"keyed\"",
                "window_ms = 1500",
                "aim_ms = 500",
                "deadline_ms = 1000",
                "worth = 10",
                "",
                "[[class]]",
                "name = \"submit\"",
                "effect = \"unsafe\"",
                "aim_ms = 250",
                "deadline_ms = 600",
                "worth = 5",
                "",
                "[[listen]]",
                "name = \"main\"",
                "address = \"127.0.0.1:0\"",
                "open = true",
                "class = \"page\"",
                "write_class = \"submit\"",
                "",
                "[[pool]]",
                "name = \"pages\"",
                "[pool.discovery]",
                "address = \"" + fleet.discovery.dial() + "\"",
                "zones = [\"here\"]",
                "kinds = [\"node\", \"origin\"]",
                "origin_kind = \"origin\"",
                "",
                "[[route]]",
                "name = \"all\"",
                "pools = [\"pages\"]",
                "");
    }

    /** As after some hours: the nodes hold nineteen in twenty of the pages, whichever of them is asked. */
    public static void warm(FakeFleet fleet) {
        for (int i = 0; i < KEYS; i++) {
            if (i % 20 != 19) {
                String key = "page/" + i;
                byte[] value = FakeOrigin.value(key).getBytes(StandardCharsets.ISO_8859_1);
                fleet.nodes.forEach(n -> n.store(key, value));
            }
        }
    }

    /** Requests of all classes: 95 in 100 reads, some of a hot key; the rest writes, each with a mark of its own. */
    public static List<Ask> asks(int n, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Ask> asks = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            int kind = random.nextInt(100);
            // Squared, so that some keys are far more popular than others; one in ten is the hottest.
            double u = random.nextDouble();
            String key = "page/" + (random.nextInt(10) == 0 ? 0 : (int) (u * u * KEYS));
            if (kind < 95) {
                asks.add(new Ask(key, "c=page", null, FakeOrigin.value(key)));
            } else if (kind < 98) {
                asks.add(new Ask("submit/" + i, "c=submit", "submit-" + i, null));
            } else {
                asks.add(new Ask("publish/" + i, "c=publish,k=publish-" + i, "publish-" + i, null));
            }
        }
        return asks;
    }
}
