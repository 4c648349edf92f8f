package cacheproxy.fleet.peer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fleet.peer.PeerListTransition.Standing;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeerListTransitionTest {
    private static final Set<String> OLD = Set.of("p1", "p2", "p3");
    private static final Set<String> NEW = Set.of("p3", "p4", "p5");

    private static PeerListTransition by(Set<String> list, Set<String> leaving) {
        PeerListTransition s = new PeerListTransition();
        s.use(list, leaving, Set.of(1L, 2L));
        return s;
    }

    private static Standing between(PeerListTransition one, PeerListTransition other) {
        one.heard(0, 1, other.message());
        other.heard(0, 2, one.message());
        assertThat(one.of(1, 10)).isEqualTo(other.of(2, 10));
        return one.of(1, 10);
    }

    @Test
    void aStepApartIsSafeAndTwoAreNot() {
        assertThat(between(by(OLD, Set.of()), by(OLD, Set.of()))).isEqualTo(Standing.SAME);
        assertThat(between(by(NEW, OLD), by(NEW, OLD))).isEqualTo(Standing.SAME);
        assertThat(between(by(OLD, Set.of()), by(NEW, OLD))).isEqualTo(Standing.A_STEP_APART);
        assertThat(between(by(NEW, OLD), by(NEW, Set.of()))).isEqualTo(Standing.A_STEP_APART);
        assertThat(between(by(OLD, Set.of()), by(NEW, Set.of()))).isEqualTo(Standing.DIFFERENT);
        assertThat(between(by(NEW, OLD), by(OLD, NEW)))
                .as("there and back at once")
                .isEqualTo(Standing.DIFFERENT);
        assertThat(between(by(Set.of("p1"), Set.of()), by(NEW, OLD))).isEqualTo(Standing.DIFFERENT);
    }

    @Test
    void whatWasToldLongAgoOrIsNoMessageSaysNothing() {
        PeerListTransition one = by(OLD, Set.of());
        assertThat(one.of(1, 0)).isEqualTo(Standing.UNKNOWN);
        one.heard(0, 1, by(OLD, Set.of()).message());
        one.heard(1, 1, new byte[3]);
        assertThat(one.of(1, PeerListTransition.FORGET_MS)).isEqualTo(Standing.SAME);
        assertThat(one.of(1, PeerListTransition.FORGET_MS + 1)).isEqualTo(Standing.UNKNOWN);
        one.heard(0, 1, by(OLD, Set.of()).message());
        one.use(OLD, Set.of(), Set.of(2L));
        assertThat(one.of(1, 1)).as("no peer any more").isEqualTo(Standing.UNKNOWN);
    }
}
