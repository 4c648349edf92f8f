package cacheproxy.nginx.importer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.RouteExplainer;
import cacheproxy.fakes.NginxReferenceModel;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.Directive;
import cacheproxy.routes.RouteInput;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the imported routes of random trees of locations with nginx's documented search. */
class LocationImportTest {
    private static final int TREES = 1000;
    private static final int KEYS_PER_TREE = 60;
    private static final int MIN_FORWARDED = 6000;

    private static String randomPath(SplittableRandom random) {
        StringBuilder path = new StringBuilder("/");
        for (int remaining = random.nextInt(4); remaining > 0; remaining--) {
            path.append("ab/".charAt(random.nextInt(3)));
        }
        return path.toString();
    }

    /**
     * Writes random locations, each of which passes requests to its own address.
     *
     * @param enclosingText the text of the enclosing location
     * @param nextId holds the number of the next location
     */
    private static void writeLocations(
            SplittableRandom random, String enclosingText, int depth, int[] nextId, StringBuilder out) {
        for (int remaining = random.nextInt(depth == 0 ? 6 : 3); remaining > 0; remaining--) {
            int kind = random.nextInt(6);
            String text = enclosingText + randomPath(random).substring(enclosingText.isEmpty() ? 0 : 1);
            String head = switch (kind) {
                case 0 -> "= " + text;
                case 1 -> "^~ " + text;
                case 2 -> "~ " + randomPath(random).substring(1) + "[ab]" + (random.nextBoolean() ? "$" : "");
                case 3 -> "~* ^/" + "AB".charAt(random.nextInt(2));
                default -> text;
            };
            if (head.equals("= ") || text.isEmpty()) {
                continue;
            }
            int id = nextId[0]++;
            String address = "10.0." + id / 250 + "." + (id % 250 + 1) + ":80";
            out.append("location ").append(head).append(" { proxy_pass http://").append(address);
            out.append(";\n");
            if (depth < 3 && kind != 0) {
                writeLocations(random, kind == 2 || kind == 3 ? "/" : text, depth + 1, nextId, out);
            }
            out.append("}\n");
        }
    }

    private static String randomConfiguration(SplittableRandom random) {
        StringBuilder conf = new StringBuilder("upstream spare { server 10.9.0.1:80; }\nserver { listen 80;\n");
        writeLocations(random, "", 0, new int[1], conf);
        return conf.append("location = /never/asked { proxy_pass http://spare; }\n}\n")
                .toString();
    }

    private static String explanation(DaemonConfig config, String key) {
        RouteInput input = config.keys().parse(config.listeners().get(0).name(), key, 0, 0, false);
        return new RouteExplainer(config).lines(input, false).get(0);
    }

    /** Compares the results for random keys, and returns how many keys are passed to a pool. */
    private static int compareRandomKeys(
            SplittableRandom random, String text, NginxReferenceModel model, DaemonConfig config) {
        int forwarded = 0;
        for (int i = 0; i < KEYS_PER_TREE; i++) {
            String key = randomPath(random) + randomPath(random).substring(1);
            NginxReferenceModel.Answer answer = model.respond("*:80", "GET", "", key);
            String imported = explanation(config, key);
            if (answer.status() != 0) {
                assertThat(imported).as(text + key).contains("answer=failed");
            } else {
                assertThat(imported).as(text + key).contains(" pool=" + answer.pool() + " ");
                forwarded++;
            }
        }
        return forwarded;
    }

    @Test
    void routesRandomLocationTreesLikeReferenceModel() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        int forwarded = 0;
        for (int round = 0; round < TREES; round++) {
            String text = randomConfiguration(random);
            List<Directive> tree = ConfParser.parse("r.conf", text);
            Importer.Result result = Importer.run(
                    new ConfParser.Conf(tree, List.of(), 1, 1),
                    new ImportOptions("127.0.0.1", 0, Map.of(), "unsafe", 0));
            DaemonConfig config = DaemonConfigReader.parse("imported", result.configText());
            // The model does not know which configurations nginx refuses: such trees are not compared.
            boolean refused = result.report().lines().stream().anyMatch(line -> line.contains("nginx refuses"));
            if (!refused) {
                forwarded += compareRandomKeys(random, text, new NginxReferenceModel(tree), config);
            }
        }
        assertThat(forwarded).isGreaterThan(MIN_FORWARDED);
    }
}
