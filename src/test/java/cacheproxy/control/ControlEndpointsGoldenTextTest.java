package cacheproxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** What the operators' calls of a single proxy answer: code, text and the method to use. */
class ControlEndpointsGoldenTextTest {
    private final AtomicBoolean active = new AtomicBoolean(true);
    private final AtomicBoolean readable = new AtomicBoolean(true);
    private final ControlEndpoints calls = new ControlEndpoints(
            active::get,
            () -> active.get() ? "active" : "standby",
            () -> true,
            () -> false,
            new DiagnosticEndpoints(() -> "violations=0 stopped=0", enabled -> {}, readable::get));

    private String call(String method, String path) {
        ControlEndpoints.Answer answer = calls.call(method, path);
        return answer.code() + " " + answer.text() + (answer.allow() == null ? "" : " [" + answer.allow() + "]");
    }

    @Test
    void statusIsAWordAndItsCodeSaysWhetherClientsAreTaken() {
        assertThat(call("GET", "/status?x=1")).isEqualTo("200 active");
        active.set(false);
        assertThat(call("GET", "/status")).isEqualTo("503 standby");
    }

    @Test
    void diagnosticCallsAnswerALine() {
        assertThat(call("GET", "/invariants")).isEqualTo("200 violations=0 stopped=0");
        assertThat(call("POST", "/events/on")).isEqualTo("200 events on");
        assertThat(call("POST", "/events/off")).isEqualTo("200 events off");
        assertThat(call("POST", "/reload")).isEqualTo("202 reading the configuration");
        readable.set(false);
        assertThat(call("POST", "/reload")).isEqualTo("503 no configuration to read");
    }

    @Test
    void wrongCallsNameTheRightOnes() {
        assertThat(call("POST", "/status")).isEqualTo("405 use GET /status [GET]");
        assertThat(call("GET", "/standby")).isEqualTo("405 use POST /standby [POST]");
        assertThat(call("GET", "/active")).isEqualTo("405 use POST /active [POST]");
        assertThat(call("POST", "/invariants")).isEqualTo("405 use GET /invariants [GET]");
        assertThat(call("GET", "/reload")).isEqualTo("405 use POST /reload [POST]");
        assertThat(call("GET", "/other"))
                .isEqualTo("404 the calls are GET /status, POST /standby, POST /active, GET /invariants,"
                        + " POST /events/on, POST /events/off and POST /reload");
    }
}
