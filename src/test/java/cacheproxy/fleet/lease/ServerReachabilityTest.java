package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class ServerReachabilityTest {
    @Test
    void oneThatReachesNoServerWhereOthersDoIsIllAndAllAreWellWhereNobodyDoes() {
        ServerReachability r = new ServerReachability(0, 3000, 10_000);
        assertThat(r.able(60_000)).as("nobody says that it reaches any").isTrue();
        r.there(60_000);
        assertThat(r.able(60_000)).isFalse();
        r.here(60_500);
        assertThat(r.able(63_499)).isTrue();
        assertThat(r.able(63_501)).as("the word was of before").isTrue();
        r.there(63_600);
        assertThat(r.able(63_601)).isFalse();
        assertThat(r.able(73_599)).isFalse();
        assertThat(r.able(73_601)).as("the word is old").isTrue();
        // All lose them at one time: what others said just before says nothing.
        ServerReachability all = new ServerReachability(0, 3000, 10_000);
        all.here(100_000);
        all.there(100_900);
        assertThat(all.able(104_000)).isTrue();
        all.there(103_500);
        assertThat(all.able(104_000)).as("others still do").isFalse();
        assertThatThrownBy(() -> new ServerReachability(0, 0, 1)).isInstanceOf(IllegalArgumentException.class);
    }
}
