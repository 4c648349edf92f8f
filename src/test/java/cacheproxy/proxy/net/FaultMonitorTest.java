package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that faults are counted and logged with their place, and which of them end the process. */
class FaultMonitorTest {
    private final List<String> lines = new ArrayList<>();
    private final List<String> halts = new ArrayList<>();
    private final FaultMonitor faults = new FaultMonitor(lines::add, () -> halts.add("halt"));

    @Test
    void countsAndLogsEachFaultWithItsPlace() {
        faults.record(new IllegalStateException("first"));
        faults.record(new StackOverflowError());
        assertThat(faults.count()).isEqualTo(2);
        assertThat(lines.get(0))
                .startsWith("fault: java.lang.IllegalStateException: first at " + FaultMonitorTest.class.getName());
        assertThat(halts).isEmpty();
    }

    /** Guards against a process that stands without its event loop, as nothing can be allocated any more. */
    @Test
    void anExhaustedHeapEndsTheProcessAndExhaustedDirectMemoryDoesNot() {
        faults.record(
                new OutOfMemoryError("Cannot reserve 262144 bytes of direct buffer memory (allocated: 1, limit: 2)"));
        assertThat(halts).isEmpty();
        faults.record(new OutOfMemoryError("Java heap space"));
        assertThat(halts).hasSize(1);
        faults.record(new OutOfMemoryError());
        assertThat(halts).hasSize(2);
    }
}
