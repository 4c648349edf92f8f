package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Combinations of local successes and reports from others, around the limits of each. */
class ServerReachabilityTest {
    @Test
    void isIneligibleOnlyWhileOthersReachServersThatItDoesNot() {
        ServerReachability reachability = new ServerReachability(0, 3000, 10_000);
        assertThat(reachability.isEligible(60_000))
                .as("no process reports a reachable server")
                .isTrue();
        reachability.recordRemoteReport(60_000);
        assertThat(reachability.isEligible(60_000)).isFalse();
        reachability.recordLocalSuccess(60_500);
        assertThat(reachability.isEligible(63_499)).isTrue();
        assertThat(reachability.isEligible(63_501))
                .as("the report is older than this process's last success")
                .isTrue();
        reachability.recordRemoteReport(63_600);
        assertThat(reachability.isEligible(63_601)).isFalse();
        assertThat(reachability.isEligible(73_599)).isFalse();
        assertThat(reachability.isEligible(73_601)).as("the report has expired").isTrue();
        // A common outage: reports from just before it do not count.
        ServerReachability all = new ServerReachability(0, 3000, 10_000);
        all.recordLocalSuccess(100_000);
        all.recordRemoteReport(100_900);
        assertThat(all.isEligible(104_000)).isTrue();
        all.recordRemoteReport(103_500);
        assertThat(all.isEligible(104_000)).as("others still reach servers").isFalse();
        assertThatThrownBy(() -> new ServerReachability(0, 0, 1)).isInstanceOf(IllegalArgumentException.class);
    }
}
