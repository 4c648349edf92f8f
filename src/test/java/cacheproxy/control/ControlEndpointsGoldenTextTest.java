package cacheproxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Responses of the control address of a single-pool proxy: status, text and allowed method. */
class ControlEndpointsGoldenTextTest {
    private final AtomicBoolean acceptsClients = new AtomicBoolean(true);
    private final AtomicBoolean reloadable = new AtomicBoolean(true);
    private final ControlEndpoints endpoints = new ControlEndpoints(
            acceptsClients::get,
            () -> acceptsClients.get() ? "active" : "standby",
            () -> true,
            () -> false,
            new DiagnosticEndpoints(
                    () -> "violations=0 stopped=0",
                    () -> "used=0",
                    () -> "loop_busy",
                    () -> "warming_up=0",
                    enabled -> {},
                    reloadable::get));

    private String exchange(String method, String path) {
        ControlResponse response = endpoints.handle(method, path);
        String allowed = response.allowedMethod().map(name -> " [" + name + "]").orElse("");
        return response.status() + " " + response.text() + allowed;
    }

    @Test
    void statusReportsStateAndWhetherClientsAreAccepted() {
        assertThat(exchange("GET", "/status?x=1")).isEqualTo("200 active");
        acceptsClients.set(false);
        assertThat(exchange("GET", "/status")).isEqualTo("503 standby");
    }

    @Test
    void diagnosticEndpointsRespondWithOneLine() {
        assertThat(exchange("GET", "/invariants")).isEqualTo("200 violations=0 stopped=0");
        assertThat(exchange("POST", "/events/on")).isEqualTo("200 events on");
        assertThat(exchange("POST", "/events/off")).isEqualTo("200 events off");
        assertThat(exchange("POST", "/reload")).isEqualTo("202 reading the configuration");
        reloadable.set(false);
        assertThat(exchange("POST", "/reload")).isEqualTo("503 no configuration to read");
    }

    @Test
    void rejectedRequestsNameTheSupportedOnes() {
        assertThat(exchange("POST", "/status")).isEqualTo("405 use GET /status [GET]");
        assertThat(exchange("GET", "/standby")).isEqualTo("405 use POST /standby [POST]");
        assertThat(exchange("GET", "/active")).isEqualTo("405 use POST /active [POST]");
        assertThat(exchange("POST", "/invariants")).isEqualTo("405 use GET /invariants [GET]");
        assertThat(exchange("POST", "/memory")).isEqualTo("405 use GET /memory [GET]");
        assertThat(exchange("GET", "/load")).isEqualTo("200 loop_busy");
        assertThat(exchange("POST", "/load")).isEqualTo("405 use GET /load [GET]");
        assertThat(exchange("GET", "/slow-start")).isEqualTo("200 warming_up=0");
        assertThat(exchange("POST", "/slow-start")).isEqualTo("405 use GET /slow-start [GET]");
        assertThat(exchange("GET", "/reload")).isEqualTo("405 use POST /reload [POST]");
        assertThat(exchange("GET", "/other"))
                .isEqualTo(
                        "404 the calls are GET /status, POST /standby, POST /active, GET /invariants,"
                                + " GET /memory, GET /load, GET /slow-start, POST /events/on, POST /events/off and POST /reload");
    }
}
