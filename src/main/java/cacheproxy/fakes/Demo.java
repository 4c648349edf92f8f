package cacheproxy.fakes;

import cacheproxy.fakes.LoadClient.LoadRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The demo's file and its requests. */
public final class Demo {
    public static final int NODE_COUNT = 8;
    /** A stalled node stands still for so long, in milliseconds. */
    public static final double STALL_MS = 150;

    private static final int KEY_COUNT = 2000;

    private Demo() {}

    /** A daemon's file for this fleet, on an ephemeral port; every kind of request of the README is in it. */
    public static String configText(FakeFleet fleet) {
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
    public static void fillCaches(FakeFleet fleet) {
        for (int i = 0; i < KEY_COUNT; i++) {
            if (i % 20 != 19) {
                String key = "page/" + i;
                byte[] value = FakeOrigin.value(key).getBytes(StandardCharsets.ISO_8859_1);
                fleet.nodes.forEach(node -> node.store(key, value));
            }
        }
    }

    /** Requests of all classes: 95 in 100 reads, some of a hot key; the rest writes, each with a mark of its own. */
    public static List<LoadRequest> requests(int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LoadRequest> requests = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int percentile = random.nextInt(100);
            // Squared, so that some keys are far more popular than others; one in ten is the hottest.
            double uniform = random.nextDouble();
            String key = "page/" + (random.nextInt(10) == 0 ? 0 : (int) (uniform * uniform * KEY_COUNT));
            if (percentile < 95) {
                requests.add(new LoadRequest(key, "c=page", null, FakeOrigin.value(key)));
            } else if (percentile < 98) {
                requests.add(new LoadRequest("submit/" + i, "c=submit", "submit-" + i, null));
            } else {
                requests.add(new LoadRequest("publish/" + i, "c=publish,k=publish-" + i, "publish-" + i, null));
            }
        }
        return requests;
    }
}
