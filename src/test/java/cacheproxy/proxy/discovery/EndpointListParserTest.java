package cacheproxy.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parsing of discovery's JSON form of the endpoint list, and which lists are rejected. */
class EndpointListParserTest {
    private static final String SERVER =
            "{'host': 'cache-1f', 'dial': '127.0.0.1:11211', 'site': 'east', 'class': 'large', 'health': 'up'}";

    private final EndpointListParser parser =
            new EndpointListParser(List.of("east", "north_west"), List.of("small", "large"));

    private static JsonObject json(String text) {
        return JsonParser.parseString(text.replace('\'', '"')).getAsJsonObject();
    }

    private static JsonObject list(String servers) {
        return json("{'seq': 42, 'whole': true, 'hosts': [" + servers + "]}");
    }

    /** Returns {@link #SERVER} with one member replaced or added. */
    private static String serverWith(String name, String value) {
        JsonObject server = json(SERVER);
        server.add(name, JsonParser.parseString(value.replace('\'', '"')));
        return server.toString();
    }

    private ListedServer server(String server) {
        return parser.servers(list(server)).get(0);
    }

    @Test
    void readsAServerWithAllItsMembers() {
        String text = "{'host': 'cache-1f', 'dial': '127.0.0.1:11211', 'site': 'north west', 'class': 'small',"
                + " 'health': 'draining', 'share': 0.5, 'born_ms': 1700, 'block': 3}";
        EndpointListUpdate update = parser.parse(list(text));
        assertThat(update.version()).isEqualTo(42);
        assertThat(update.complete()).isTrue();
        assertThat(update.endpoints()).containsExactly(new Endpoint(0x1f, 1, 0, 3, EndpointState.DRAINING, 0.5f, 1700));
        assertThat(update.servers().get(0).address())
                .isEqualTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 11211));
    }

    @Test
    void absentMembersOfAServerHaveDefaults() {
        assertThat(server(SERVER).endpoint()).isEqualTo(new Endpoint(0x1f, 0, 1, 0, EndpointState.READY, 1, 0));
    }

    @Test
    void keepsTheOrderOfTheServers() {
        String servers = serverWith("host", "'cache-3'") + "," + serverWith("host", "'cache-1'") + ","
                + serverWith("host", "'cache-2'");
        assertThat(parser.parse(list(servers)).endpoints())
                .extracting(Endpoint::id)
                .containsExactly(3, 1, 2);
    }

    @Test
    void readsTheVersionAlone() {
        assertThat(parser.version(json("{'seq': 9007199254740993}"))).isEqualTo(9007199254740993L);
    }

    @ParameterizedTest
    @CsvSource({"up,READY", "draining,DRAINING", "removed,GONE"})
    void readsEachState(String health, EndpointState state) {
        assertThat(server(serverWith("health", "'" + health + "'")).endpoint().state())
                .isEqualTo(state);
    }

    @Test
    void refusesAnUnknownState() {
        assertThatThrownBy(() -> server(serverWith("health", "'sick'")))
                .isInstanceOf(DiscoveryException.class)
                .hasMessage("host cache-1f: unknown health");
    }

    @Test
    void refusesAServerThatIsListedTwice() {
        assertThatThrownBy(() -> parser.servers(list(SERVER + "," + SERVER)))
                .isInstanceOf(DiscoveryException.class)
                .hasMessage("a host is listed twice");
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '"',
            value = {"site,'west'", "class,'medium'", "share,-0.1", "share,1e39", "share,'NaN'"})
    void refusesUnknownZonesAndKindsAndBadWeights(String name, String value) {
        assertThatThrownBy(() -> server(serverWith(name, value)))
                .isInstanceOf(DiscoveryException.class)
                .hasMessage("host cache-1f: unknown site or class, or bad share");
    }

    @ParameterizedTest
    @ValueSource(strings = {"host", "dial", "site", "class", "health"})
    void refusesAServerWithoutAMember(String name) {
        JsonObject server = json(SERVER);
        server.remove(name);
        assertThatThrownBy(() -> server(server.toString())).isInstanceOf(RuntimeException.class);
    }

    @Test
    void refusesAnAddressThatIsNotLiteral() {
        assertThatThrownBy(() -> server(serverWith("dial", "'localhost:11211'")))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @ParameterizedTest
    @CsvSource({"east,east", "north west,north_west", "'a, b',a__b", "'',''"})
    void namesHaveNoSpacesAndCommasInSettings(String name, String settingName) {
        assertThat(SettingNames.toSettingName(name)).isEqualTo(settingName);
    }

    /**
     * Guards against a start time that equals no other, such as NaN, with which a server would seem to restart with
     * each list.
     */
    @ParameterizedTest
    @ValueSource(strings = {"'NaN'", "'Infinity'", "'-Infinity'", "1e999"})
    void refusesAStartTimeThatIsNotFinite(String startedMs) {
        String text = serverWith("born_ms", startedMs);
        assertThatThrownBy(() -> server(text))
                .isInstanceOf(DiscoveryException.class)
                .hasMessageContaining("cache-1f")
                .hasMessageContaining("born_ms");
    }
}
