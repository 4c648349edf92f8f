package cacheproxy.soak;

import cacheproxy.soak.SoakHistory.Outage;
import cacheproxy.soak.SoakHistory.ProcessExit;
import cacheproxy.soak.SoakHistory.Shutdown;
import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Faults of a proxy's process: pauses, kills, planned shutdowns and series of signals. Used from several threads. */
final class ProxyFaults {
    /** Writes the configuration of a proxy with one of the two discovery addresses. */
    interface Configuration {
        void write(SoakProxy proxy, int discovery) throws IOException;
    }

    /** The earliest SIGKILL after SIGTERM: the longest deadline of the classes (900 ms) plus 0.7 s. */
    private static final long EARLIEST_KILL_MS = 1600;
    /**
     * The interval after SIGTERM, from this time to {@code LATE_CONNECTION_UNTIL_MS}, in which new connections are
     * still served.
     */
    private static final int LATE_CONNECTION_FROM_MS = 200;

    private static final int LATE_CONNECTION_UNTIL_MS = 400;

    private final SoakHistory history;
    private final Configuration configuration;
    /** Numbers the clients that connect late in a shutdown. */
    private final AtomicInteger lateClients = new AtomicInteger();

    ProxyFaults(SoakHistory history, Configuration configuration) {
        this.history = history;
        this.configuration = configuration;
    }

    /** Pauses the process for 50 to 700 ms. */
    void pause(SoakProxy proxy, Random random) throws Exception {
        long from = System.nanoTime();
        proxy.signal("STOP");
        long inForce = System.nanoTime();
        LockSupport.parkNanos((50 + random.nextInt(650)) * 1_000_000L);
        proxy.signal("CONT");
        history.outages.add(new Outage(proxy.number, from, inForce, System.nanoTime()));
    }

    /** Kills the process without warning, and starts the next. */
    void kill(SoakProxy proxy, Random random) throws Exception {
        long from = System.nanoTime();
        proxy.kill();
        long ended = System.nanoTime();
        history.outages.add(new Outage(proxy.number, from, from, ended));
        history.processExits.add(new ProcessExit(proxy.number, ended));
        restart(proxy, random);
    }

    /**
     * Shuts the process down as planned, while clients continue and further signals may follow, with SIGKILL at the
     * earliest permitted time; then starts the next.
     */
    void terminate(SoakProxy proxy, Random random) throws Exception {
        shutDown(proxy, random);
        restart(proxy, random);
    }

    private void shutDown(SoakProxy proxy, Random random) throws Exception {
        if (random.nextInt(3) == 0) {
            proxy.signal("HUP");
        }
        long requested = System.nanoTime();
        proxy.signal("TERM");
        if (random.nextInt(3) == 0) {
            proxy.signal(random.nextBoolean() ? "HUP" : "TERM");
        }
        int lateMs = LATE_CONNECTION_FROM_MS + random.nextInt(LATE_CONNECTION_UNTIL_MS - LATE_CONNECTION_FROM_MS);
        LockSupport.parkNanos(requested + lateMs * 1_000_000L - System.nanoTime());
        SoakClient lateClient = new SoakClient(
                "c" + proxy.number + "xe" + lateClients.incrementAndGet(),
                proxy.number,
                proxy.port,
                history,
                0,
                0,
                false);
        if (System.nanoTime() - requested < LATE_CONNECTION_UNTIL_MS * 1_000_000L) {
            lateClient.requestOnce("connection " + lateMs + " ms after SIGTERM");
        }
        if (random.nextInt(3) == 0) {
            proxy.signal(random.nextBoolean() ? "HUP" : "TERM");
        }
        proxy.awaitEndOrKill(requested + EARLIEST_KILL_MS * 1_000_000L);
        long ended = System.nanoTime();
        history.shutdowns.add(new Shutdown(proxy.number, requested, ended));
        history.processExits.add(new ProcessExit(proxy.number, ended));
    }

    /**
     * Starts the proxy again; some starts receive a signal with their first connection, and some of these are shut down
     * by it.
     */
    private void restart(SoakProxy proxy, Random random) throws Exception {
        configuration.write(proxy, 0);
        proxy.start();
        int signal = random.nextInt(6);
        if (signal < 3) {
            try (Socket first = proxy.firstConnection()) {
                if (signal == 0) {
                    shutDown(proxy, random);
                    proxy.start();
                } else {
                    proxy.signal("HUP");
                }
            }
        }
        proxy.awaitReady();
    }

    /** Writes several configurations in quick succession; the last one remains. */
    void switchDiscovery(SoakProxy proxy, Random random) throws Exception {
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            configuration.write(proxy, random.nextInt(2));
            proxy.signal("HUP");
            LockSupport.parkNanos(random.nextInt(200) * 1_000_000L);
        }
    }
}
