package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.config.ConfigException;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.Fault.Kind;
import cacheproxy.faulttest.scenario.Fault.LinkFault;
import cacheproxy.faulttest.scenario.NetworkLinks;
import cacheproxy.faulttest.scenario.RandomFaults;
import cacheproxy.faulttest.scenario.RunValidity;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.Shrinker;
import cacheproxy.faulttest.scenario.TargetSelector;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Scenarios: target selection, random faults, links, shrinking, validity, and their file. */
class ScenarioTest {
    private final TargetSelector endpoints = new TargetSelector(6, 4, List.of("a", "b"));
    private final SplittableRandom random = new SplittableRandom(1);

    private static Fault link(
            double lossShare,
            double delayMs,
            double duplicateShare,
            boolean twoWay,
            List<String> targets,
            List<String> peers) {
        return new Fault(
                Kind.LINK,
                0,
                100,
                targets,
                peers,
                twoWay,
                new LinkFault(lossShare, delayMs, 0, duplicateShare, 0, false),
                1,
                0,
                false,
                0);
    }

    private static Fault pause(String proxy, double durationMs) {
        return new Fault(Kind.PAUSE, 0, durationMs, List.of(proxy), List.of(), false, null, 1, 0, false, 0);
    }

    @Test
    void selectsNamesRangesZonesAndRandomTargets() {
        assertThat(endpoints.select("p2-p4, n1", random)).containsExactly("p2", "p3", "p4", "n1");
        assertThat(endpoints.select("zone:b", random)).containsExactly("p2", "p4", "p6");
        assertThat(endpoints.select("nodes:a,discovery", random)).containsExactly("n1", "n3", "discovery");
        assertThat(endpoints.select("2 of proxies", random)).hasSize(2).allMatch(name -> name.startsWith("p"));
        assertThat(endpoints.select("0.5 of nodes", random)).hasSize(2).doesNotHaveDuplicates();
        assertThat(endpoints.select("0.01 of nodes", random)).as("at least one").hasSize(1);
        for (String wrong : new String[] {
            "p7", "p0", "n5", "zone:c", "p3-n2", "p4-p2", "x of proxies", "0 of proxies", "", "n1-discovery"
        }) {
            assertThatThrownBy(() -> endpoints.select(wrong, random))
                    .as(wrong)
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Test
    void combinesFaultsOfOneLinkAndKeepsOneWayCutOneWay() {
        NetworkLinks links = new NetworkLinks(endpoints);
        assertThat(links.deliveries(0, 1, random)).containsExactly(new NetworkLinks.Delivery(0, false));
        Fault cut = link(1, 0, 0, false, List.of("p1"), List.of("p2"));
        Fault delayed = link(0, 30, 1, true, List.of("p1"), List.of("p2", "p3"));
        links.begin(delayed);
        assertThat(links.deliveries(1, 0, random))
                .containsExactly(new NetworkLinks.Delivery(30, false), new NetworkLinks.Delivery(30, false));
        links.begin(link(0, 20, 0, true, List.of("p3"), List.of("p1")));
        assertThat(links.deliveries(0, 2, random)).hasSize(2).allMatch(delivery -> delivery.delayMs() == 50);
        links.begin(cut);
        assertThat(links.deliveries(0, 1, random)).isEmpty();
        assertThat(links.deliveries(1, 0, random)).as("the opposite direction").hasSize(2);
        assertThat(links.blocksConnections(0, 1)).isTrue();
        assertThat(links.blocksConnections(1, 0)).isFalse();
        links.end(cut);
        assertThat(links.deliveries(0, 1, random)).hasSize(2);
        int passed = 0;
        NetworkLinks lossy = new NetworkLinks(endpoints);
        lossy.begin(link(0.3, 0, 0, true, List.of("p1"), List.of("p2")));
        for (int i = 0; i < 10_000; i++) {
            passed += lossy.deliveries(0, 1, random).size();
        }
        assertThat(passed).isBetween(6_700, 7_300);
    }

    @Test
    void drawsSameRandomFaultsForSameSeedWithinTheirTimes() {
        RandomFaults randomFaults = new RandomFaults(200, List.of(Kind.values()), 500, 9000, 2000);
        List<Fault> faults = randomFaults.draw(endpoints, 7);
        assertThat(faults)
                .hasSize(200)
                .isEqualTo(randomFaults.draw(endpoints, 7))
                .isNotEqualTo(randomFaults.draw(endpoints, 8));
        assertThat(faults)
                .allMatch(fault -> fault.atMs() >= 500
                        && fault.endMs() <= 9000
                        && fault.durationMs() >= 200
                        && !fault.targets().isEmpty());
        assertThat(faults.stream().map(Fault::kind).distinct()).containsExactlyInAnyOrder(Kind.values());
    }

    @Test
    void readsBackWrittenScenario() throws Exception {
        Scenario scenario = ScenarioReader.parse("s", """
                [fleet]
                proxies = 6
                nodes = 4
                zones = ["a", "b"]
                program = "run"
                relay_nodes = true
                extra = '''
                [control]
                listen = "{control}"
                '''
                old = "p1,p2"
                old_extra = '''
                [control]
                listen = "127.0.0.1:0"
                '''
                duties = ["x"]
                poll_ms = 70
                [load]
                seconds = 3
                [[fault]]
                kind = "link"
                who = "2 of proxies"
                lose = 0.5
                two_way = false
                [[fault]]
                kind = "slow"
                who = "p1"
                share = 0.25
                [chaos]
                faults = 20
                longest_ms = 700
                """, 42L);
        assertThat(scenario.faults()).hasSize(22);
        assertThat(scenario.faults().get(0).linkPeers())
                .as("all proxies that are not targets")
                .hasSize(4)
                .doesNotContainAnyElementsOf(scenario.faults().get(0).targets());
        assertThat(ScenarioReader.parse("s", scenario.toToml(), null)).isEqualTo(scenario);
    }

    @Test
    void reportsAllErrorsOfScenarioWithTheirPlaces() {
        assertThatThrownBy(() -> ScenarioReader.parse("s", """
                [fleet]
                proxies = 0
                zones = ["A b"]
                [[fault]]
                kind = "stpo"
                who = "p1"
                [[fault]]
                kind = "node-kill"
                who = "p1"
                colour = 3
                [[fault]]
                kind = "stop"
                who = "p77"
                [chaos]
                longest_ms = 999999
                """, null))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        exception -> assertThat(String.join("\n", exception.errors()))
                                .contains("s:2:1: proxies is 0")
                                .contains("s:3:1: zones")
                                .contains("s:5:1: there is no fault 'stpo'")
                                .contains("s:9:1: node-kill can hit nodes only")
                                .contains("s:10:1: unknown key 'colour'")
                                .contains("s:13:1: there is no 'p77'")
                                .contains("longest_ms"));
        assertThatThrownBy(() -> ScenarioReader.parse("s", "[load]\n", null))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("[fleet]");
    }

    @Test
    void shrinksToTwoViolatingFaultsAndTheirShortestDurations() throws Exception {
        List<Fault> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(pause("p" + (1 + i % 6), 1600).withDuration(1600 + i));
        }
        Fault single = all.get(3);
        Fault staggered =
                new Fault(Kind.PAUSE, 0, 1600, List.of("p1", "p2", "p3"), List.of(), false, null, 1, 0, false, 5);
        all.set(11, staggered);
        int[] runs = {0};
        List<Fault> found = new Shrinker(
                        faults -> {
                            runs[0]++;
                            return faults.stream()
                                            .anyMatch(fault -> fault.targets().equals(single.targets())
                                                    && fault.durationMs() >= 400
                                                    && fault.staggerMs() == 0)
                                    && faults.stream()
                                            .anyMatch(fault -> fault.staggerMs() == 5
                                                    && fault.targets().contains("p2"));
                        },
                        1,
                        500)
                .shrink(all);
        assertThat(found).hasSize(2);
        Fault longer = found.get(found.get(0).staggerMs() == 5 ? 1 : 0);
        Fault narrow = found.get(found.get(0).staggerMs() == 5 ? 0 : 1);
        assertThat(longer.durationMs()).isBetween(400.0, 800.0);
        assertThat(narrow.targets()).containsExactly("p2");
        assertThat(narrow.durationMs()).isLessThan(100);
        assertThat(runs[0]).isLessThan(120);
        assertThat(new Shrinker(fault -> false, 3, 50).shrink(all)).isNull();
    }

    @Test
    void listsWhyRunOfSlowMachineDoesNotCount() {
        assertThat(new RunValidity(3, 200, 4, 5, 0.1, 0, 0).problems()).isEmpty();
        assertThat(new RunValidity(90, 2000, 400, 900, 0.2, 7, 3).problems()).hasSize(7);
        assertThat(new RunValidity(Double.NaN, 0, 0, 0, 0, 0, 0).problems()).hasSize(1);
    }
}
