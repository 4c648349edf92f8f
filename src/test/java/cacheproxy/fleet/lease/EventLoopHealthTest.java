package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EventLoopHealthTest {
    @Test
    void oneThatIsLateThriceWithinFiveSecondsIsIllForFive() {
        EventLoopHealth h = new EventLoopHealth(250, 3, 5000);
        h.ran(0, 300);
        h.ran(4000, 250);
        h.ran(4500, 249);
        assertThat(h.able(4500)).isTrue();
        h.ran(5001, 400);
        assertThat(h.able(5001)).as("the first is long ago").isTrue();
        h.ran(6000, 400);
        assertThat(h.able(10_999)).isFalse();
        assertThat(h.able(11_000)).isTrue();
    }
}
