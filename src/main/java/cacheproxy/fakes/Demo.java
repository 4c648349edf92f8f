package cacheproxy.fakes;

import cacheproxy.fakes.LoadClient.LoadRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The configuration file and the requests of the demo. */
public final class Demo {
    public static final int NODE_COUNT = 8;
    /** Duration of a node's stall, in milliseconds. */
    public static final double STALL_MS = 150;

    private static final int KEY_COUNT = 2000;

    private Demo() {}

    /**
     * Returns a daemon configuration for this fleet, with a listener on an ephemeral port; it has a class for each kind
     * of request in the README.
     */
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

    /** Fills the caches as after some hours of operation: each node holds the same 95 % of the pages. */
    public static void fillCaches(FakeFleet fleet) {
        for (int i = 0; i < KEY_COUNT; i++) {
            if (i % 20 != 19) {
                String key = "page/" + i;
                byte[] value = FakeOrigin.value(key).getBytes(StandardCharsets.ISO_8859_1);
                fleet.nodes.forEach(node -> node.store(key, value));
            }
        }
    }

    /**
     * Returns requests of all classes: 95 % reads, some of them of a hot key, and 5 % writes, each with a unique value.
     */
    public static List<LoadRequest> requests(int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LoadRequest> requests = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int percentile = random.nextInt(100);
            // The square makes some keys far more popular than others; in addition, one read in ten is of the hottest
            // key.
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
