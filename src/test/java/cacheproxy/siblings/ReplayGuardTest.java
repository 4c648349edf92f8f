package cacheproxy.siblings;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which signatures are accepted, and what happens when the guard is full. */
class ReplayGuardTest {
    @Test
    void acceptsEachSignatureOnceAndNothingNewWhenFull() {
        ReplayGuard guard = new ReplayGuard(3, 60);
        assertThat(guard.accept(100, new byte[] {1}, 130)).isTrue();
        assertThat(guard.accept(130, new byte[] {1}, 130))
                .as("replayed in its last second")
                .isFalse();
        assertThat(guard.accept(100, new byte[] {2}, 161))
                .as("valid for too long")
                .isFalse();
        assertThat(guard.accept(100, new byte[] {2}, 99)).as("expired").isFalse();
        assertThat(guard.accept(100, new byte[] {2}, 160)).isTrue();
        assertThat(guard.accept(100, new byte[] {3}, 140)).isTrue();
        assertThat(guard.accept(100, new byte[] {4}, 140)).as("full").isFalse();
        assertThat(guard.accept(100, new byte[] {1}, 130)).isFalse();
        assertThat(guard.accept(131, new byte[] {4}, 140))
                .as("after some have expired")
                .isTrue();
    }
}
