package cacheproxy.fleet.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Relations between the peer lists of two proxies while the lists are being changed. */
class PeerListTransitionTest {
    private static final Set<String> OLD_LIST = Set.of("p1", "p2", "p3");
    private static final Set<String> NEW_LIST = Set.of("p3", "p4", "p5");

    private static PeerListTransition transition(Set<String> list, Set<String> previousList) {
        PeerListTransition transition = new PeerListTransition();
        transition.update(list, previousList, Set.of(1L, 2L));
        return transition;
    }

    private static PeerListRelation relationBetween(PeerListTransition one, PeerListTransition other) {
        one.receive(0, 1, other.encodeReport());
        other.receive(0, 2, one.encodeReport());
        assertThat(one.relationOf(1, 10)).isEqualTo(other.relationOf(2, 10));
        return one.relationOf(1, 10);
    }

    @Test
    void reportsListsOneStepApartAndListsFurtherApart() {
        assertThat(relationBetween(transition(OLD_LIST, Set.of()), transition(OLD_LIST, Set.of())))
                .isEqualTo(PeerListRelation.SAME);
        assertThat(relationBetween(transition(NEW_LIST, OLD_LIST), transition(NEW_LIST, OLD_LIST)))
                .isEqualTo(PeerListRelation.SAME);
        assertThat(relationBetween(transition(OLD_LIST, Set.of()), transition(NEW_LIST, OLD_LIST)))
                .isEqualTo(PeerListRelation.ONE_STEP_APART);
        assertThat(relationBetween(transition(NEW_LIST, OLD_LIST), transition(NEW_LIST, Set.of())))
                .isEqualTo(PeerListRelation.ONE_STEP_APART);
        assertThat(relationBetween(transition(OLD_LIST, Set.of()), transition(NEW_LIST, Set.of())))
                .isEqualTo(PeerListRelation.DIFFERENT);
        assertThat(relationBetween(transition(NEW_LIST, OLD_LIST), transition(OLD_LIST, NEW_LIST)))
                .as("two opposite changes at once")
                .isEqualTo(PeerListRelation.DIFFERENT);
        assertThat(relationBetween(transition(Set.of("p1"), Set.of()), transition(NEW_LIST, OLD_LIST)))
                .isEqualTo(PeerListRelation.DIFFERENT);
    }

    @Test
    void reportsUnknownForExpiredMissingAndRemovedPeers() {
        PeerListTransition one = transition(OLD_LIST, Set.of());
        assertThat(one.relationOf(1, 0)).isEqualTo(PeerListRelation.UNKNOWN);
        one.receive(0, 1, transition(OLD_LIST, Set.of()).encodeReport());
        one.receive(1, 1, new byte[3]);
        assertThat(one.relationOf(1, PeerListTransition.REPORT_EXPIRY_MS)).isEqualTo(PeerListRelation.SAME);
        assertThat(one.relationOf(1, PeerListTransition.REPORT_EXPIRY_MS + 1)).isEqualTo(PeerListRelation.UNKNOWN);
        one.receive(0, 1, transition(OLD_LIST, Set.of()).encodeReport());
        one.update(OLD_LIST, Set.of(), Set.of(2L));
        assertThat(one.relationOf(1, 1)).as("removed peer").isEqualTo(PeerListRelation.UNKNOWN);
    }
}
