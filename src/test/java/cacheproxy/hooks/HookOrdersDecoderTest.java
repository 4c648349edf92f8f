package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decodes orders in the encoding of the ABI, and checks the messages about malformed ones. */
class HookOrdersDecoderTest {
    private static byte[] bytes(String latin1) {
        return latin1.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void decodesEveryOrder() throws Exception {
        String orders =
                "\1\2\0ab" + "\2\1\0c" + "\3\1\0t" + "\4\1\0r" + "\5\4\0\2\1\0\0" + "\6\2\0n\n" + "\7\4\0\1\0\0\0";
        assertThat(HookOrdersDecoder.decode(bytes(orders)))
                .isEqualTo(new HookOrders("ab", "c", "t", "r", 258, "n?", 1));
    }

    @Test
    void decodesNoOrders() throws Exception {
        assertThat(HookOrdersDecoder.decode(new byte[0])).isEqualTo(HookOrders.NONE);
    }

    @Test
    void decodesOrdersInAnySequence() throws Exception {
        assertThat(HookOrdersDecoder.decode(bytes("\7\4\0\1\0\0\0\1\0\0")))
                .isEqualTo(new HookOrders("", null, null, null, 0, null, 1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "01            | an order ends too early",
                "01 01         | an order ends too early",
                "01 02 00 61   | an order ends too early",
                "00 00 00      | order 0 is not known",
                "08 00 00      | order 8 is not known",
                "ff 00 00      | order 255 is not known",
                "01 00 00 01 00 00 | order 1 comes twice",
                "05 02 00 01 00 | order 5 has 2 bytes; 4 are wanted",
                "05 04 00 00 00 00 00 | order 5 is 0 ms; 1 to 3600000 are taken",
                "07 04 00 ff ff ff ff | order 7 is 4294967295 ms; 1 to 3600000 are taken",
                "03 01 00 ff   | order 3 is no UTF-8"
            })
    void reportsWhyOrdersAreMalformed(String hex, String message) {
        byte[] orders = HexFormat.of().parseHex(hex.replace(" ", ""));
        assertThatThrownBy(() -> HookOrdersDecoder.decode(orders))
                .isInstanceOf(HookException.class)
                .hasMessage(message);
    }
}
