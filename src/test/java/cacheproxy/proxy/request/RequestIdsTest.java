package cacheproxy.proxy.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which ids a new request may have. */
class RequestIdsTest {
    private final RequestIds ids = new RequestIds();

    @Test
    void anIdIsFreeAgainAfterItsResponse() {
        assertThat(ids.open("a")).isTrue();
        assertThat(ids.open("a")).isFalse();
        ids.close("a");
        assertThat(ids.open("a")).isTrue();
    }

    @Test
    void anIdIsNotFreeIfItsRequestMayHaveRunWithoutAResponse() {
        ids.open("a");
        ids.retire("a");
        assertThat(ids.open("a")).isFalse();
    }

    /** Guards against memory that grows with each id. */
    @Test
    void remembersABoundedNumberOfIds() {
        for (int i = 0; i <= RequestIds.MAX_RETIRED; i++) {
            ids.open("id" + i);
            ids.retire("id" + i);
        }
        assertThat(ids.open("id0")).isTrue();
        assertThat(ids.open("id1")).isFalse();
        assertThat(ids.open("id" + RequestIds.MAX_RETIRED)).isFalse();
    }
}
