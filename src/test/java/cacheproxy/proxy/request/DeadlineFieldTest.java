package cacheproxy.proxy.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The deadline's place in a request's list, wherever and however often the list names it. */
class DeadlineFieldTest {
    private static String told(String extras, int deadlineMs) {
        return new ClientRequest("key", "1", false, extras, "mg key v O1 P", " q").attributesWithDeadline(deadlineMs);
    }

    private static String line(String extras) {
        ClientRequest c = new ClientRequest("key", "1", false, extras, "mg key v O1 P", " q");
        return c.linePrefix + 7 + c.lineSuffix;
    }

    @Test
    void theFigureIsReplacedWhereverItStands() {
        assertThat(told("c=read,t=acme,d=480", 17)).isEqualTo("c=read,t=acme,d=17");
        assertThat(told("d=480,c=read", 17)).isEqualTo("d=17,c=read");
        assertThat(told("c=read,d=480.75,k=5c", 17)).isEqualTo("c=read,d=17,k=5c");
        assertThat(line("c=read,d=480.75,k=5c")).isEqualTo("mg key v O1 Pc=read,d=7,k=5c q");
    }

    @Test
    void aListWithoutOneGetsItAtItsEnd() {
        assertThat(told("c=read", 17)).isEqualTo("c=read,d=17");
        assertThat(told("", 17)).isEqualTo("d=17");
        assertThat(line("c=read,id=5,dd=6")).isEqualTo("mg key v O1 Pc=read,id=5,dd=6,d=7 q");
    }

    @Test
    void aSecondOneIsLeftOutSoThatNoServerReadsTheClientsFirstFigure() {
        assertThat(told("d=480,c=read,d=480,d=900", 17)).isEqualTo("d=17,c=read");
        assertThat(told("c=read,d=480,d=900,k=5c", 17)).isEqualTo("c=read,d=17,k=5c");
        assertThat(line("c=read,d=480,d=900,k=5c")).isEqualTo("mg key v O1 Pc=read,d=7,k=5c q");
    }

    @Test
    void anotherKeyKeepsTheListAndTheDeadlinesPlace() {
        ClientRequest other =
                new ClientRequest("key", "1", false, "c=read,d=480,k=5c", "mg key v O1 P", " q").withKey("longer-key");
        assertThat(other.linePrefix + 7 + other.lineSuffix).isEqualTo("mg longer-key v O1 Pc=read,d=7,k=5c q");
        assertThat(other.attributesWithDeadline(9)).isEqualTo("c=read,d=9,k=5c");
    }
}
