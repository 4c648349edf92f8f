package cacheproxy.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order and the times of simulated events. */
class VirtualClockTest {
    private final VirtualClock clock = new VirtualClock(100);
    private final List<String> events = new ArrayList<>();

    private Runnable event(String name) {
        return () -> events.add(name + " " + clock.nowMs());
    }

    @Test
    void runsEventsByTimeAndThenAsTheyWereScheduled() {
        clock.after(5, event("late"));
        clock.after(2, event("first"));
        clock.at(102, event("second"));
        clock.after(-1, event("overdue"));
        clock.run();
        assertThat(events).containsExactly("overdue 100.0", "first 102.0", "second 102.0", "late 105.0");
    }

    @Test
    void runsEventsUpToTheEndWithAnActionBeforeEach() {
        clock.at(101, event("in time"));
        clock.at(102, event("at the end"));
        clock.at(102.5, event("too late"));
        clock.runUntil(102, event("before"));
        assertThat(events).containsExactly("before 101.0", "in time 101.0", "before 102.0", "at the end 102.0");
        assertThat(clock.nowMs()).isEqualTo(102);
    }
}
