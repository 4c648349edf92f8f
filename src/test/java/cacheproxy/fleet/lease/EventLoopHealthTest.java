package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Counts late tasks within the window. */
class EventLoopHealthTest {
    @Test
    void isUnhealthyForAWindowAfterThreeLateTasksWithinIt() {
        EventLoopHealth health = new EventLoopHealth(250, 3, 5000);
        health.recordTask(0, 300);
        health.recordTask(4000, 250);
        health.recordTask(4500, 249);
        assertThat(health.isHealthy(4500)).isTrue();
        health.recordTask(5001, 400);
        assertThat(health.isHealthy(5001))
                .as("the first late task is outside the window")
                .isTrue();
        health.recordTask(6000, 400);
        assertThat(health.isHealthy(10_999)).isFalse();
        assertThat(health.isHealthy(11_000)).isTrue();
    }
}
