package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When {@link SilentWatchDetector} requests a poll because of refused connections or claimed versions. */
class SilentWatchDetectorTest {
    private final SilentWatchDetector detector = new SilentWatchDetector(3500, 1000, 200);

    private static Endpoint member(int id, EndpointState state) {
        return new Endpoint(id, 0, 0, 0, state, 1, 0);
    }

    private void listReadyServers(int servers) {
        detector.listReceived(
                41,
                true,
                IntStream.rangeClosed(1, servers)
                        .mapToObj(i -> member(i, EndpointState.READY))
                        .toList());
    }

    @Test
    void waitsFullReportDelayForOneRefusingServer() {
        listReadyServers(60);
        assertThat(detector.nextPollAtMs()).isInfinite();
        detector.connectionRefused(1000, 7);
        detector.connectionRefused(2000, 7);
        assertThat(detector.nextPollAtMs()).isEqualTo(1000 + 3500 + 200);
        assertThat(detector.takeDuePoll(4699)).isFalse();
        assertThat(detector.takeDuePoll(4700)).isTrue();
        assertThat(detector.nextPollAtMs()).isInfinite();
    }

    @Test
    void pollsSoonerWhenManyServersRefuse() {
        listReadyServers(60);
        for (int i = 1; i <= 6; i++) {
            detector.connectionRefused(1000 + i, i);
        }
        assertThat(detector.nextPollAtMs()).isEqualTo(1006 + 1000 + 200);
    }

    @Test
    void needsThreeRefusingServersInSmallFleet() {
        listReadyServers(4);
        detector.connectionRefused(0, 1);
        detector.connectionRefused(0, 2);
        assertThat(detector.nextPollAtMs()).isEqualTo(3700);
        detector.connectionRefused(0, 3);
        assertThat(detector.nextPollAtMs()).isEqualTo(1200);
    }

    @Test
    void listUpdateOrReconnectionCancelsPoll() {
        listReadyServers(60);
        detector.connectionRefused(0, 7);
        detector.listReceived(42, false, List.of());
        assertThat(detector.nextPollAtMs()).isInfinite();
        detector.connectionRefused(0, 7);
        detector.connectionRefused(0, 8);
        detector.connected(7);
        assertThat(detector.nextPollAtMs()).isEqualTo(3700);
        detector.connected(8);
        assertThat(detector.nextPollAtMs()).isInfinite();
    }

    @Test
    void ignoresRefusalsOfServersNotReady() {
        listReadyServers(60);
        detector.listReceived(42, false, List.of(member(7, EndpointState.DRAINING), member(8, EndpointState.GONE)));
        detector.connectionRefused(0, 7);
        detector.connectionRefused(0, 8);
        detector.connectionRefused(0, 61);
        assertThat(detector.nextPollAtMs()).isInfinite();
    }

    @Test
    void doublesWaitForServerThatStaysDownUntilItsStateChanges() {
        listReadyServers(60);
        double nowMs = 0;
        List<Double> waits = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            detector.connectionRefused(nowMs, 7);
            waits.add(detector.nextPollAtMs() - nowMs);
            nowMs = detector.nextPollAtMs();
            assertThat(detector.takeDuePoll(nowMs)).isTrue();
            detector.listReceived(
                    42, false, List.of(member(9, EndpointState.READY))); // a change, but of another server
        }
        assertThat(waits).containsExactly(3700.0, 7200.0, 14200.0, 28200.0, 56200.0, 56200.0, 56200.0);
        detector.connectionRefused(nowMs, 7);
        detector.listReceived(42, false, List.of(member(7, EndpointState.DRAINING)));
        detector.listReceived(42, false, List.of(member(7, EndpointState.READY)));
        detector.connectionRefused(nowMs, 7);
        assertThat(detector.nextPollAtMs()).isEqualTo(nowMs + 3700);
    }

    @Test
    void returnsToFullDelayWhenFewServersStillRefuse() {
        listReadyServers(60);
        for (int i = 1; i <= 6; i++) {
            detector.connectionRefused(i, i);
        }
        assertThat(detector.nextPollAtMs()).isEqualTo(1206);
        detector.connected(6);
        assertThat(detector.nextPollAtMs()).isEqualTo(3701);
        detector.connectionRefused(100, 6);
        assertThat(detector.nextPollAtMs()).isEqualTo(1300);
    }

    @Test
    void pollsWhenClaimedVersionDoesNotArrive() {
        listReadyServers(60);
        detector.versionClaimed(1000, 43);
        detector.versionClaimed(1500, 43);
        assertThat(detector.nextPollAtMs()).isEqualTo(1000 + 1000 + 200);
        detector.listReceived(42, false, List.of());
        assertThat(detector.nextPollAtMs()).isEqualTo(2200); // the claimed version has not arrived yet
        detector.listReceived(43, false, List.of());
        assertThat(detector.nextPollAtMs()).isInfinite();
    }

    @Test
    void limitsPollsForFalseClaimAndIgnoresClaimsForAWhile() {
        listReadyServers(60);
        detector.versionClaimed(0, Long.MAX_VALUE);
        double nowMs = 0;
        List<Double> waits = new ArrayList<>();
        while (detector.nextPollAtMs() < Double.POSITIVE_INFINITY && waits.size() < 10) {
            waits.add(detector.nextPollAtMs() - nowMs);
            nowMs = detector.nextPollAtMs();
            assertThat(detector.takeDuePoll(nowMs)).isTrue();
            detector.listReceived(41, false, List.of());
            detector.versionClaimed(nowMs, Long.MAX_VALUE); // repeated claims
        }
        assertThat(waits).containsExactly(1200.0, 2200.0, 4200.0, 8200.0);
        double ignoreClaimsMs = 16 * 3500;
        detector.versionClaimed(nowMs + ignoreClaimsMs - 1, 43);
        assertThat(detector.nextPollAtMs()).isInfinite();
        detector.connectionRefused(nowMs + ignoreClaimsMs - 1, 7); // refusals still count
        assertThat(detector.nextPollAtMs()).isEqualTo(nowMs + ignoreClaimsMs - 1 + 3700);
        detector.listReceived(42, false, List.of());
        detector.versionClaimed(nowMs + ignoreClaimsMs, 43);
        assertThat(detector.nextPollAtMs()).isEqualTo(nowMs + ignoreClaimsMs + 1200);
    }
}
