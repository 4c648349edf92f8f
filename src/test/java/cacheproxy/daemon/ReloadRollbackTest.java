package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reloads that fail, or during which the shutdown begins, between the binding of new addresses and the commit. */
@Timeout(60)
class ReloadRollbackTest {
    /** A subsystem without a section, whose opening a test can block or make fail from the second configuration on. */
    private static final class BlockingSubsystem implements Subsystem, Subsystem.Factory {
        final CountDownLatch opening = new CountDownLatch(1);
        final CountDownLatch mayOpen = new CountDownLatch(1);
        final CountDownLatch draining = new CountDownLatch(1);
        RuntimeException failure;

        @Override
        public Optional<? extends Subsystem> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
                throws InterruptedException {
            if (previous != null) {
                opening.countDown();
                mayOpen.await();
                if (failure != null) {
                    throw failure;
                }
            }
            return Optional.of(this);
        }

        @Override
        public boolean fits(DaemonConfig file) {
            return false;
        }

        @Override
        public void drain() {
            draining.countDown();
        }

        @Override
        public void close() {}
    }

    private final BlockingSubsystem blockingSubsystem = new BlockingSubsystem();

    private Daemon start(String file) throws Exception {
        return Daemon.start(
                DaemonConfigReader.parse("f", file),
                7,
                StandardSubsystems.with(new Subsystem.Registration("", blockingSubsystem)));
    }

    private static String file(FakeFleet fleet, String listeners) {
        return DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + listeners
                + DaemonHarness.pool("a", fleet, "", fleet.nodes.toArray(new FakeCacheServer[0]))
                + DaemonHarness.route("all", "", "a");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Fails if the port is bound, whether the socket is listening or not. */
    private static void assertUnbound(int port) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(false);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
    }

    /** Guards against addresses that stay bound after a reload in which a subsystem throws. */
    @Test
    void reloadInWhichSubsystemThrowsLeavesNoAddressBound() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        int port = freePort();
        blockingSubsystem.mayOpen.countDown();
        blockingSubsystem.failure = new IllegalStateException("injected failure");
        try (Daemon daemon = start(file(fleet, ""))) {
            String next = file(fleet, DaemonHarness.listener("second", "127.0.0.1:" + port));
            assertThatThrownBy(() -> daemon.load(DaemonConfigReader.parse("f", next)))
                    .isSameAs(blockingSubsystem.failure);
            assertUnbound(port);
            assertThat(daemon.addresses()).containsOnlyKeys("main");
        }
    }

    /**
     * Guards against a process that opens new addresses while it shuts down, and cuts off the clients that connect to
     * them.
     */
    @Test
    void reloadOvertakenByShutdownChangesNothing() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        int port = freePort();
        try (Daemon daemon = start(file(fleet, ""))) {
            String next = file(fleet, DaemonHarness.listener("second", "127.0.0.1:" + port));
            CompletableFuture<Throwable> reload = CompletableFuture.supplyAsync(
                    () -> catchThrowable(() -> daemon.load(DaemonConfigReader.parse("f", next))));
            blockingSubsystem.opening.await();
            CompletableFuture<Void> drain = CompletableFuture.runAsync(daemon::drain);
            blockingSubsystem.draining.await();
            blockingSubsystem.mayOpen.countDown();
            assertThat(reload.get(20, TimeUnit.SECONDS))
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining("shutting down");
            assertUnbound(port);
            drain.get(40, TimeUnit.SECONDS);
        }
    }

    /** Guards against a reload that begins during the shutdown, as after a SIGHUP that follows a SIGTERM. */
    @Test
    void reloadDuringShutdownChangesNothing() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        int port = freePort();
        blockingSubsystem.mayOpen.countDown();
        try (Daemon daemon = start(file(fleet, ""))) {
            CompletableFuture<Void> drain = CompletableFuture.runAsync(daemon::drain);
            blockingSubsystem.draining.await();
            String next = file(fleet, DaemonHarness.listener("second", "127.0.0.1:" + port));
            assertThatThrownBy(() -> daemon.load(DaemonConfigReader.parse("f", next)))
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining("shutting down");
            assertUnbound(port);
            drain.get(40, TimeUnit.SECONDS);
        }
    }
}
