package cacheproxy.faulttest.scenario;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * The names and indices of a run's endpoints, and the expressions that select some of them. Indices count proxies
 * first, then cache servers, then discovery.
 *
 * <p>An expression is a list of terms with commas between them: a name ({@code p3}, {@code n12}, {@code discovery}); a
 * range ({@code p1-p5}); {@code proxies}, {@code nodes} or {@code all}; the proxies or servers of a zone
 * ({@code zone:a}, {@code nodes:a}); or a random choice from a term, by number or by share ({@code 3 of proxies},
 * {@code 0.1 of zone:a}).
 */
public final class TargetSelector {
    /** The name of discovery. */
    public static final String DISCOVERY = "discovery";

    private static final String RANDOM_CHOICE = " of ";

    private final int proxies;
    private final int servers;
    private final List<String> zones;

    /**
     * Makes a selector; throws an IllegalArgumentException if there are no proxies, servers or zones.
     *
     * @param zones assigned to proxies and servers in turn
     */
    public TargetSelector(int proxies, int servers, List<String> zones) {
        if (proxies < 1 || servers < 1 || zones.isEmpty()) {
            throw new IllegalArgumentException("there must be proxies, nodes and zones: proxies " + proxies + ", nodes "
                    + servers + ", zones " + zones);
        }
        this.proxies = proxies;
        this.servers = servers;
        this.zones = List.copyOf(zones);
    }

    /** How many proxies there are. */
    public int proxies() {
        return proxies;
    }

    /** How many cache servers there are. */
    public int servers() {
        return servers;
    }

    /** The names of the zones. */
    public List<String> zones() {
        return zones;
    }

    /** How many endpoints there are. */
    public int size() {
        return proxies + servers + 1;
    }

    /** The name of a proxy, counted from 0. */
    public static String proxyName(int proxy) {
        return "p" + (proxy + 1);
    }

    /** The name of a cache server, counted from 0. */
    public static String serverName(int server) {
        return "n" + (server + 1);
    }

    /** The index of discovery among all endpoints. */
    public int discoveryIndex() {
        return proxies + servers;
    }

    /** The index of the zone of a proxy, which is counted from 0. */
    public int zoneOfProxy(int proxy) {
        return proxy % zones.size();
    }

    /** The index of the zone of a cache server, which is counted from 0. */
    public int zoneOfServer(int server) {
        return server % zones.size();
    }

    /** The name of the endpoint with an index. */
    public String nameOf(int index) {
        if (index < proxies) {
            return proxyName(index);
        }
        return index < proxies + servers ? serverName(index - proxies) : DISCOVERY;
    }

    /** The index of the endpoint with a name; an IllegalArgumentException says which names there are. */
    public int indexOf(String name) {
        if (name.equals(DISCOVERY)) {
            return discoveryIndex();
        }
        if (name.matches("[pn][0-9]{1,6}")) {
            boolean isProxy = name.startsWith("p");
            int number = Integer.parseInt(name.substring(1)) - 1;
            if (number >= 0 && number < (isProxy ? proxies : servers)) {
                return isProxy ? number : proxies + number;
            }
        }
        throw new IllegalArgumentException(
                "there is no '" + name + "'; there are p1 to p" + proxies + ", n1 to n" + servers + " and discovery");
    }

    /** The names that an expression selects, each once; an IllegalArgumentException says what is wrong with it. */
    public List<String> select(String expression, SplittableRandom random) {
        Set<String> selected = new LinkedHashSet<>();
        for (String term : expression.split(",", 0)) {
            selected.addAll(selectTerm(term.trim(), random));
        }
        return List.copyOf(selected);
    }

    private List<String> selectTerm(String term, SplittableRandom random) {
        if (term.indexOf(RANDOM_CHOICE) > 0) {
            return selectRandom(term, random);
        } else if (term.equals("all")) {
            return names(size(), index -> true, this::nameOf);
        } else if (term.equals("proxies")) {
            return names(proxies, proxy -> true, TargetSelector::proxyName);
        } else if (term.startsWith("zone:")) {
            int zone = zoneIndex(term);
            return names(proxies, proxy -> zone == zoneOfProxy(proxy), TargetSelector::proxyName);
        } else if (term.equals("nodes")) {
            return names(servers, server -> true, TargetSelector::serverName);
        } else if (term.startsWith("nodes:")) {
            int zone = zoneIndex(term);
            return names(servers, server -> zone == zoneOfServer(server), TargetSelector::serverName);
        } else if (term.contains("-")) {
            return selectRange(term);
        } else {
            return List.of(nameOf(indexOf(term)));
        }
    }

    private static List<String> names(int count, IntPredicate selected, IntFunction<String> name) {
        return IntStream.range(0, count).filter(selected).mapToObj(name).toList();
    }

    private List<String> selectRandom(String term, SplittableRandom random) {
        int split = term.indexOf(RANDOM_CHOICE);
        List<String> candidates = new ArrayList<>(
                selectTerm(term.substring(split + RANDOM_CHOICE.length()).trim(), random));
        double countOrShare;
        try {
            countOrShare = Double.parseDouble(term.substring(0, split).trim());
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + term + "': expected a number before 'of'");
        }
        if (!(countOrShare > 0)) {
            throw new IllegalArgumentException("'" + term + "': the number before 'of' must be above 0");
        }
        double count = countOrShare < 1 ? Math.max(1, Math.round(countOrShare * candidates.size())) : countOrShare;
        int limit = (int) Math.min(candidates.size(), count);
        List<String> drawn = new ArrayList<>();
        for (int i = 0; i < limit; i++) {
            drawn.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return drawn;
    }

    private List<String> selectRange(String term) {
        int from = indexOf(term.substring(0, term.indexOf('-')));
        int to = indexOf(term.substring(term.indexOf('-') + 1));
        if (from > to || from < proxies != to < proxies || to == discoveryIndex()) {
            throw new IllegalArgumentException("'" + term + "' is not a range of proxies or of nodes");
        }
        return IntStream.rangeClosed(from, to).mapToObj(this::nameOf).toList();
    }

    private int zoneIndex(String term) {
        int zone = zones.indexOf(term.substring(term.indexOf(':') + 1));
        if (zone < 0) {
            throw new IllegalArgumentException(
                    "'" + term + "': there is no such zone; there are " + String.join(", ", zones));
        }
        return zone;
    }
}
