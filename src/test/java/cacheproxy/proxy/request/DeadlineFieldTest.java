package cacheproxy.proxy.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the replacement of the deadline in attributes that have it at any position, not at all or repeatedly. */
class DeadlineFieldTest {
    private static String withDeadline(String attributes, int deadlineMs) {
        return new ClientRequest("key", "1", false, attributes, "mg key v O1 P", " q")
                .attributesWithDeadline(deadlineMs);
    }

    private static String line(String attributes) {
        return line(new ClientRequest("key", "1", false, attributes, "mg key v O1 P", " q"));
    }

    private static String line(ClientRequest request) {
        return request.linePrefix() + 7 + request.lineSuffix();
    }

    @Test
    void replacesDeadlineWhereverItStands() {
        assertThat(withDeadline("c=read,t=acme,d=480", 17)).isEqualTo("c=read,t=acme,d=17");
        assertThat(withDeadline("d=480,c=read", 17)).isEqualTo("d=17,c=read");
        assertThat(withDeadline("c=read,d=480.75,k=5c", 17)).isEqualTo("c=read,d=17,k=5c");
        assertThat(line("c=read,d=480.75,k=5c")).isEqualTo("mg key v O1 Pc=read,d=7,k=5c q");
    }

    @Test
    void appendsDeadlineToAttributesWithoutOne() {
        assertThat(withDeadline("c=read", 17)).isEqualTo("c=read,d=17");
        assertThat(withDeadline("", 17)).isEqualTo("d=17");
        assertThat(line("c=read,id=5,dd=6")).isEqualTo("mg key v O1 Pc=read,id=5,dd=6,d=7 q");
    }

    @Test
    void removesRepeatedDeadlines() {
        assertThat(withDeadline("d=480,c=read,d=480,d=900", 17)).isEqualTo("d=17,c=read");
        assertThat(withDeadline("c=read,d=480,d=900,k=5c", 17)).isEqualTo("c=read,d=17,k=5c");
        assertThat(line("c=read,d=480,d=900,k=5c")).isEqualTo("mg key v O1 Pc=read,d=7,k=5c q");
    }

    @Test
    void keepsAttributesAndDeadlineWhenKeyChanges() {
        ClientRequest request = new ClientRequest("key", "1", false, "c=read,d=480,k=5c", "mg key v O1 P", " q");
        ClientRequest other = request.withKey("longer-key");
        assertThat(line(other)).isEqualTo("mg longer-key v O1 Pc=read,d=7,k=5c q");
        assertThat(other.attributesWithDeadline(9)).isEqualTo("c=read,d=9,k=5c");
    }
}
