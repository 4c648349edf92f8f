package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.snapshot.state.LearnedServer;
import org.junit.jupiter.api.Test;

/** The health of a server across its restarts. */
class ServerStateTest {
    private static ServerState listed(double startedMs) {
        ServerState server = new ServerState(5);
        server.update(1000, PolicyHarness.endpoint(5, EndpointState.READY, startedMs), true);
        return server;
    }

    /** Guards against results of an earlier process of the server that count for or against the present one. */
    @Test
    void restartClearsFailuresOverdueAttemptsAndProbes() {
        ServerState server = listed(100);
        server.countOverdueAttempt();
        server.eject(5000);
        server.startProbe();
        server.update(2000, PolicyHarness.endpoint(5, EndpointState.READY, 1900), false);
        assertThat(server.failures()).isZero();
        assertThat(server.ejectedUntilMs()).isZero();
        assertThat(server.overdueAttempts()).isZero();
        assertThat(server.isProbing()).isFalse();
        assertThat(server.restartSeenMs()).isEqualTo(2000);
    }

    /**
     * Guards against a probe passed by the previous process that makes later failures of the new one count for nothing.
     */
    @Test
    void probePassedBeforeRestartDoesNotMakeServerTrusted() {
        ServerState server = listed(100);
        server.eject(5000);
        server.passProbe();
        server.update(2000, PolicyHarness.endpoint(5, EndpointState.READY, 1900), false);
        server.restore(new LearnedServer(5, 1900, 1, 100, 0), 2100);
        assertThat(server.isTrusted()).isFalse();
    }

    @Test
    void listingWithoutRestartKeepsHealth() {
        ServerState server = listed(100);
        server.countOverdueAttempt();
        server.eject(5000);
        server.startProbe();
        server.update(2000, PolicyHarness.endpoint(5, EndpointState.READY, 100), false);
        assertThat(server.failures()).isEqualTo(1);
        assertThat(server.overdueAttempts()).isEqualTo(1);
        assertThat(server.isProbing()).isTrue();
    }
}
