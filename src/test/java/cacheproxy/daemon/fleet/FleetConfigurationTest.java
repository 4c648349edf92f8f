package cacheproxy.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.config.FleetConfig;
import java.nio.file.Files;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Errors and defaults of the configuration sections of the fleet. */
@Timeout(60)
class FleetConfigurationTest extends AbstractFleetDaemonTest {
    @Test
    void reportsInvalidFleetSettingsWithTheirPlace() throws Exception {
        Files.writeString(folder.resolve("short"), "abc\n");
        assertThatThrownBy(() -> DaemonConfigReader.parse(folder.resolve("f").toString(), file("""
                [fleet]
                me = "p4"
                listen = "127.0.0.1:0"
                key_file = "short"
                [[fleet.peer]]
                name = "p1"
                address = "127.0.0.1:7"
                [[fleet.peer]]
                name = "p1"
                address = "127.0.0.1:7"
                joining = true
                leaving = true
                [[duty]]
                name = "a b"
                [[duty]]
                name = "c"
                lease_ms = 5000
                voters = 4
                """)))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        exception -> assertThat(String.join("\n", exception.errors()))
                                .contains("there is no peer 'p4'")
                                .contains("another peer 'p1'")
                                .contains("another peer has the address 127.0.0.1:7")
                                .contains("joining is not leaving")
                                .contains("duty name 'a b'")
                                .contains("lease_ms is 5000")
                                .contains("odd number")
                                .contains("at least 16 characters"));
        assertThatThrownBy(() -> DaemonConfigReader.parse("f", file(duty("x"))))
                .hasMessageContaining("duties need [fleet]");
        FleetConfig open = DaemonConfigReader.parse("f", file(fleetOf("p1", 9, "", "p1@9", "p2@8")))
                .section(FleetConfig.class);
        assertThat(open.warnings()).singleElement().asString().contains("key_file");
        assertThat(open.previousPeerNames()).isEmpty();
        FleetConfig moving = DaemonConfigReader.parse(
                        "f",
                        file(fleetOf("p1", 9, "", "p1@9", "p2@8") + "leaving = true\n"
                                + "[[fleet.peer]]\nname = \"p3\"\naddress = \"127.0.0.1:7\"\njoining = true\n"))
                .section(FleetConfig.class);
        assertThat(moving.peerNames()).containsExactly("p1", "p3");
        assertThat(moving.previousPeerNames()).containsExactly("p1", "p2");
    }

    @Test
    void reportsInvalidInternalLeasesWithTheirPlace() throws Exception {
        String one = fleetOf("p1", 9, "", "p1@9");
        assertThatThrownBy(
                        () -> DaemonConfigReader.parse(
                                "f",
                                file(
                                        one.replace("[[fleet.peer]]\n", "[[fleet.peer]]\nzone = \"a.b\"\n")
                                                + duty("probe.1") + duty("watch.x")
                                                + "[fleet.probe]\nvoters = 2\nshares = 0\npatience_ms = 100\n[fleet.watch]\nbeat_ms = 500\nword_ms = 400\nlazy_ms = 300\n")))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        exception -> assertThat(String.join("\n", exception.errors()))
                                .contains("zone 'a.b'")
                                .contains("names that begin with probe. or watch.")
                                .contains("odd number")
                                .contains("shares is 0")
                                .contains("patience_ms is 100")
                                .contains("no longer than beat_ms")
                                .contains("shorter than word_ms"));
        FleetConfig two = DaemonConfigReader.parse(
                        "f",
                        file(fleetOf("p1", 9, "", "p1@9", "p2@8")
                                        .replace("127.0.0.1:8\"\n", "127.0.0.1:8\"\nzone = \"b\"\n")
                                + "[fleet.watch]\n"))
                .section(FleetConfig.class);
        assertThat(two.peerNames("here")).containsExactly("p1");
        assertThat(two.peerNames("b")).containsExactly("p2");
        assertThat(two.watchLease("pages")).isEqualTo("watch.here.pages");
        assertThat(two.healthCheckLeases()).isEmpty();
        assertThat(two.delegatedWatch().leaseMs()).isEqualTo(150);
    }
}
