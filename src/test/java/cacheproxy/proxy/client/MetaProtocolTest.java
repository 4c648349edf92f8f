package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the two grammars of client commands: how a command line is parsed, and how the response to it begins and ends.
 */
class MetaProtocolTest {
    private static final String BAD_KEY =
            "CLIENT_ERROR a key has 1 to 250 printing ASCII characters, and so has the line";

    private final MetaProtocol platform = MetaProtocol.platform();
    private final MetaProtocol standard =
            new StandardMetaProtocol("c=page,t=acme,d=400", "c=save,d=900", Set.of("save"), () -> "n1");

    /** Records each call as a line of text. */
    private static final class Recorder implements MetaCommandHandler {
        private final List<String> calls = new ArrayList<>();

        private static String text(ClientRequest request) {
            return request == null
                    ? "null"
                    : request.key() + " " + request.id() + " [" + request.linePrefix() + "|" + request.lineSuffix()
                            + "]";
        }

        @Override
        public void onRead(ClientRequest request, String echo) {
            calls.add("read " + text(request) + echo);
        }

        @Override
        public void onWrite(ClientRequest request, int valueBytes) {
            calls.add("write " + text(request) + " " + valueBytes);
        }

        @Override
        public void onStandardWrite(ClientRequest request, int valueBytes, String echo, String errorLine) {
            calls.add("write " + text(request) + " " + valueBytes + echo + (errorLine == null ? "" : " " + errorLine));
        }

        @Override
        public void onInvalid(String errorLine) {
            calls.add(errorLine);
        }
    }

    private static String parse(MetaProtocol protocol, String line) {
        Recorder recorder = new Recorder();
        try {
            protocol.parse(line, recorder);
        } catch (MetaCodec.SyntaxException e) {
            throw new AssertionError(e);
        }
        assertThat(recorder.calls).hasSize(1);
        return recorder.calls.get(0);
    }

    @Test
    void platformCommandLinesAreForwardedUnchanged() {
        assertThat(parse(platform, "mg key v O7 Pc=read,d=480,t=acme q"))
                .isEqualTo("read key 7 [mg key v O7 Pc=read,d=|,t=acme q] O7");
        assertThat(parse(platform, "ms key 12 O7 Pc=save")).isEqualTo("write key 7 [ms key 12 O7 Pc=save,d=|] 12");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"mg key v O7", "mg key v Pc=read", "mg key v O Pc=read", "mg  v O7 Pc=read", "mg k\te O7 Pc=r"})
    void thePlatformRequiresKeyIdAndAttributes(String line) {
        assertThat(parse(platform, line)).isEqualTo("CLIENT_ERROR bad command line format");
    }

    @Test
    void theValueOfAnInvalidWriteStillFollows() {
        assertThat(parse(platform, "ms key 12 O7")).isEqualTo("write null 12");
        assertThat(parse(standard, "ms key 12 S5"))
                .isEqualTo("write null 12 CLIENT_ERROR flag S is not offered; ms takes O, k and P");
    }

    @ParameterizedTest
    @ValueSource(strings = {"ms key O7 Pc=save", "ms key", "ms key 4194305 O7 Pc=save"})
    void aWriteWithoutALengthEndsTheConnection(String line) {
        Recorder recorder = new Recorder();
        assertThatThrownBy(() -> platform.parse(line, recorder)).isInstanceOf(MetaCodec.SyntaxException.class);
        assertThatThrownBy(() -> standard.parse(line, recorder)).isInstanceOf(MetaCodec.SyntaxException.class);
        assertThat(recorder.calls).isEmpty();
    }

    @Test
    void keysHaveUpTo250Characters() {
        String longest = "k".repeat(250);
        assertThat(parse(platform, "mg " + longest + " v O7 Pc=read")).startsWith("read " + longest);
        assertThat(parse(platform, "mg " + longest + "k v O7 Pc=read")).startsWith("CLIENT_ERROR");
        assertThat(parse(standard, "mg " + longest + " v")).startsWith("read " + longest);
        assertThat(parse(standard, "mg " + longest + "k v")).isEqualTo(BAD_KEY);
    }

    @Test
    void standardCommandsGetAnIdAndTheDefaults() {
        assertThat(parse(standard, "mg key v")).isEqualTo("read key n1 [mg key v On1 Pc=page,t=acme,d=|]");
        assertThat(parse(standard, "mg key v Pd=80")).isEqualTo("read key n1 [mg key v On1 Pd=|,c=page,t=acme]");
        assertThat(parse(standard, "mg key k O77 v")).endsWith("] O77 kkey");
    }

    @Test
    void standardWritesOfKeyedClassesGetADeduplicationKey() {
        assertThat(parse(standard, "ms key 5")).isEqualTo("write key n1 [ms key 5 On1 Pc=save,d=|,k=n1] 5");
        assertThat(parse(standard, "ms key 5 Pk=mine")).isEqualTo("write key n1 [ms key 5 On1 Pk=mine,c=save,d=|] 5");
        assertThat(parse(standard, "ms key 5 Pc=page O1")).isEqualTo("write key n1 [ms key 5 On1 Pc=page,d=|] 5 O1");
    }

    @ParameterizedTest
    @CsvSource({
        "mg key,CLIENT_ERROR mg needs the flag v",
        "mg key t v,'CLIENT_ERROR flag t is not offered; mg takes v, O, k and P'",
        "mg key vv,'CLIENT_ERROR flag v is not offered; mg takes v, O, k and P'",
        "mg key v O123456789012345678901234567890123,CLIENT_ERROR an opaque has 32 characters at most",
        "md key,'ERROR this listener takes mg, ms and mn, not md'",
        "get key,'ERROR this listener takes mg, ms and mn'"
    })
    void standardErrorsNameWhatIsUnsupported(String line, String response) {
        assertThat(parse(standard, line)).isEqualTo(response);
    }

    @Test
    void thePlatformTakesNoOtherCommands() {
        assertThat(parse(platform, "get key")).isEqualTo("ERROR");
    }

    @Test
    void responsesRepeatTheFlagsThatTheGrammarRepeats() {
        assertThat(platform.storedLine(" O7", "5f")).isEqualTo("HD O7 c5f\r\n");
        assertThat(platform.storedLine(" O7", null)).isEqualTo("HD O7\r\n");
        assertThat(platform.missLine(" O7")).isEqualTo("EN O7\r\n");
        assertThat(standard.storedLine(" O7", "5f")).isEqualTo("HD O7\r\n");
        assertThat(standard.missLine(" O7")).isEqualTo("EN\r\n");
    }
}
