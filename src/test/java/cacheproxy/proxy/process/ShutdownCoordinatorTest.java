package cacheproxy.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what a shutdown waits for and drains, depending on the phase of the start in which it begins. */
@Timeout(30)
class ShutdownCoordinatorTest {
    private final ShutdownCoordinator coordinator = new ShutdownCoordinator();
    private final AtomicInteger drains = new AtomicInteger();

    /** Guards against a start that listens although its process is about to end. */
    @Test
    void aShutdownBeforeListeningEndsAtOnceAndForbidsIt() {
        coordinator.shutDown();
        assertThat(coordinator.mayAcceptConnections()).isFalse();
        assertThat(drains).hasValue(0);
    }

    /** Guards against connections that are cut because the shutdown begins before the start is complete. */
    @Test
    void aShutdownAfterListeningWaitsForTheStartAndDrains() throws Exception {
        assertThat(coordinator.mayAcceptConnections()).isTrue();
        Thread hook = new Thread(coordinator::shutDown);
        hook.start();
        while (hook.getState() != Thread.State.WAITING) {
            Thread.onSpinWait();
        }
        assertThat(drains).hasValue(0);
        coordinator.started(drains::incrementAndGet);
        hook.join();
        assertThat(drains).hasValue(1);
    }

    @Test
    void aShutdownOfAStartedServiceDrains() {
        assertThat(coordinator.mayAcceptConnections()).isTrue();
        coordinator.started(drains::incrementAndGet);
        assertThat(coordinator.mayAcceptConnections()).as("after a reload").isTrue();
        coordinator.shutDown();
        assertThat(drains).hasValue(1);
    }

    /** Guards against a failed start whose exit waits forever for a drain. */
    @Test
    void aFailedStartIsNotWaitedFor() throws Exception {
        assertThat(coordinator.mayAcceptConnections()).isTrue();
        Thread hook = new Thread(coordinator::shutDown);
        hook.start();
        coordinator.startFailed();
        hook.join();
        assertThat(drains).hasValue(0);
    }
}
