package cacheproxy.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which versions replace the list held, and which version is requested next. */
class ListVersionTest {
    private final ListVersion version = new ListVersion();

    private static EndpointListUpdate changes(long version) {
        return new EndpointListUpdate(List.of(), false, version);
    }

    private static EndpointListUpdate complete(long version) {
        return new EndpointListUpdate(List.of(), true, version);
    }

    @Test
    void reportsWhetherVersionIsNewer() {
        version.reset(41);
        assertThat(version.accept(changes(42))).isTrue();
        assertThat(version.accept(complete(42))).isFalse();
        assertThat(version.held()).isEqualTo(42);
        assertThat(version.since()).isEqualTo(42);
    }

    @Test
    void acceptsOlderCompleteListOnlyAfterRequestingIt() {
        version.reset(41);
        assertThatThrownBy(() -> version.accept(complete(7)))
                .isInstanceOf(DiscoveryException.class)
                .hasMessage("version 7 after 41");
        assertThat(version.held()).isEqualTo(41);
        assertThat(version.since()).as("requests the complete list").isZero();
        assertThat(version.accept(complete(7))).isFalse();
        assertThat(version.held()).isEqualTo(7);
        assertThat(version.since()).isEqualTo(7);
    }

    @Test
    void rejectsOlderChangesAndRequestsNoCompleteListForThem() {
        version.reset(41);
        assertThatThrownBy(() -> version.accept(changes(40))).isInstanceOf(DiscoveryException.class);
        assertThat(version.held()).isEqualTo(41);
        assertThat(version.since()).isEqualTo(41);
    }
}
