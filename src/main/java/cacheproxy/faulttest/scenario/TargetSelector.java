package cacheproxy.faulttest.scenario;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The names of what a run consists of, and the words that choose among them: {@code p3}, {@code n12},
 * {@code discovery}; {@code p1-p5}; {@code proxies}, {@code nodes}, {@code all}; {@code zone:a}, the proxies of a zone,
 * and {@code nodes:a}; {@code 3 of proxies} and {@code 0.1 of zone:a}, so many or such a part by lot; several of these
 * with commas between them.
 */
public final class TargetSelector {
    public static final String DISCOVERY = "discovery";

    private final int proxies;
    private final int nodes;
    private final List<String> zones;

    /** @param zones dealt out to proxies and nodes in turn */
    public TargetSelector(int proxies, int nodes, List<String> zones) {
        if (proxies < 1 || nodes < 1 || zones.isEmpty()) {
            throw new IllegalArgumentException("proxies " + proxies + ", nodes " + nodes + ", zones " + zones);
        }
        this.proxies = proxies;
        this.nodes = nodes;
        this.zones = List.copyOf(zones);
    }

    public int proxies() {
        return proxies;
    }

    public int nodes() {
        return nodes;
    }

    public List<String> zones() {
        return zones;
    }

    /** Of all: proxies first, then nodes, then discovery. */
    public int count() {
        return proxies + nodes + 1;
    }

    public static String proxy(int i) {
        return "p" + (i + 1);
    }

    public static String node(int i) {
        return "n" + (i + 1);
    }

    public int discovery() {
        return proxies + nodes;
    }

    public int zoneOfProxy(int proxy) {
        return proxy % zones.size();
    }

    public int zoneOfNode(int node) {
        return node % zones.size();
    }

    public String name(int index) {
        return index < proxies ? proxy(index) : index < proxies + nodes ? node(index - proxies) : DISCOVERY;
    }

    /** The index of a name. */
    public int index(String name) {
        if (name.equals(DISCOVERY)) {
            return discovery();
        }
        boolean proxy = name.startsWith("p");
        if ((proxy || name.startsWith("n")) && name.matches("[pn][0-9]{1,6}")) {
            int i = Integer.parseInt(name.substring(1)) - 1;
            if (i >= 0 && i < (proxy ? proxies : nodes)) {
                return proxy ? i : proxies + i;
            }
        }
        throw new IllegalArgumentException(
                "there is no '" + name + "'; there are p1 to p" + proxies + ", n1 to n" + nodes + " and discovery");
    }

    /** The names that words choose, each once; an IllegalArgumentException says what is wrong with them. */
    public List<String> choose(String words, SplittableRandom random) {
        Set<String> chosen = new LinkedHashSet<>();
        for (String word : words.split(",", 0)) {
            chosen.addAll(one(word.trim(), random));
        }
        return List.copyOf(chosen);
    }

    private List<String> one(String word, SplittableRandom random) {
        int of = word.indexOf(" of ");
        if (of > 0) {
            List<String> among = new ArrayList<>(one(word.substring(of + 4).trim(), random));
            double n;
            try {
                n = Double.parseDouble(word.substring(0, of).trim());
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("'" + word + "': a number is wanted before 'of'");
            }
            if (!(n > 0)) {
                throw new IllegalArgumentException("'" + word + "': more than 0 is wanted before 'of'");
            }
            int count = (int) Math.min(among.size(), n < 1 ? Math.max(1, Math.round(n * among.size())) : n);
            List<String> lot = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                lot.add(among.remove(random.nextInt(among.size())));
            }
            return lot;
        }
        List<String> list = new ArrayList<>();
        if (word.equals("all")) {
            for (int i = 0; i < count(); i++) {
                list.add(name(i));
            }
        } else if (word.equals("proxies") || word.startsWith("zone:")) {
            for (int i = 0; i < proxies; i++) {
                if (word.equals("proxies") || zone(word) == zoneOfProxy(i)) {
                    list.add(proxy(i));
                }
            }
        } else if (word.equals("nodes") || word.startsWith("nodes:")) {
            for (int i = 0; i < nodes; i++) {
                if (word.equals("nodes") || zone(word) == zoneOfNode(i)) {
                    list.add(node(i));
                }
            }
        } else if (word.contains("-")) {
            int from = index(word.substring(0, word.indexOf('-')));
            int to = index(word.substring(word.indexOf('-') + 1));
            if (from > to || from < proxies != to < proxies || to == discovery()) {
                throw new IllegalArgumentException("'" + word + "' is no range of proxies or of nodes");
            }
            for (int i = from; i <= to; i++) {
                list.add(name(i));
            }
        } else {
            list.add(name(index(word)));
        }
        return list;
    }

    private int zone(String word) {
        int zone = zones.indexOf(word.substring(word.indexOf(':') + 1));
        if (zone < 0) {
            throw new IllegalArgumentException("'" + word + "': there are the zones " + String.join(", ", zones));
        }
        return zone;
    }
}
