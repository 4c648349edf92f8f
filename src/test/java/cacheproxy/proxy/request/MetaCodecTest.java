package cacheproxy.proxy.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parsing of lines, lengths, flags and attributes of the meta text protocol. */
class MetaCodecTest {
    private static ByteBuf input(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Test
    void readsLinesWithEitherEnd() throws Exception {
        ByteBuf input = input("mg a v\r\nmg b v\n\r\n\nrest");
        assertThat(MetaCodec.readLine(input)).isEqualTo("mg a v");
        assertThat(MetaCodec.readLine(input)).isEqualTo("mg b v");
        assertThat(MetaCodec.readLine(input)).isEmpty();
        assertThat(MetaCodec.readLine(input)).isEmpty();
        assertThat(MetaCodec.readLine(input)).isNull();
        assertThat(input.readableBytes()).as("an incomplete line stays unread").isEqualTo(4);
    }

    @Test
    void readsLinesUpToTheMaximumLength() throws Exception {
        String longest = "a".repeat(MetaCodec.MAX_LINE_BYTES - 2);
        assertThat(MetaCodec.readLine(input(longest + "\r\n"))).isEqualTo(longest);
        assertThat(MetaCodec.readLine(input(longest + "a")))
                .as("the end of the line may still arrive")
                .isNull();
        assertThatThrownBy(() -> MetaCodec.readLine(input(longest + "aa\n")))
                .isInstanceOf(MetaCodec.SyntaxException.class)
                .hasMessage("line too long");
    }

    @ParameterizedTest
    @CsvSource({"0,0", "7,7", "007,7", "4194304,4194304"})
    void parsesLengths(String digits, int length) throws Exception {
        assertThat(MetaCodec.parseLength(digits)).isEqualTo(length);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "+1", "1.0", "4194305", "99999999999999999999", "a", " 1"})
    void refusesOtherLengths(String digits) {
        assertThatThrownBy(() -> MetaCodec.parseLength(digits))
                .isInstanceOf(MetaCodec.SyntaxException.class)
                .hasMessage("bad data length");
    }

    @Test
    void findsFlagsByTheLetterThatATokenStartsWith() {
        String line = "HD O12 c=xL5 L7 O9";
        assertThat(MetaCodec.flagArgument(line, 3, 'O')).isEqualTo("12");
        assertThat(MetaCodec.flagArgument(line, 3, 'L')).isEqualTo("7");
        assertThat(MetaCodec.flagArgument(line, 3, 'x')).isNull();
        assertThat(MetaCodec.flagArgument(line, line.length(), 'O')).isNull();
        assertThat(MetaCodec.flagArgument(line, line.length() + 1, 'O')).isNull();
        assertThat(MetaCodec.hasFlag(line, 3, 'O', "12")).isTrue();
        assertThat(MetaCodec.hasFlag(line, 3, 'O', "1")).isFalse();
        assertThat(MetaCodec.hasFlag(line, 3, 'O', "123")).isFalse();
        assertThat(MetaCodec.hasFlag(line, 16, 'O', "9")).isTrue();
    }

    @Test
    void readsTokens() {
        assertThat(MetaCodec.tokenAt("VA 12 O1", 3)).isEqualTo("12");
        assertThat(MetaCodec.tokenAt("VA 12 O1", 6)).isEqualTo("O1");
        assertThat(MetaCodec.tokenAt("VA", 3)).isEmpty();
    }

    @Test
    void findsAttributesByTheirWholeName() {
        String attributes = "c=read,dd=6,d=480,k=";
        assertThat(MetaCodec.attribute(attributes, "d")).isEqualTo("480");
        assertThat(MetaCodec.attribute(attributes, "k")).isEmpty();
        assertThat(MetaCodec.attribute(attributes, "read")).isNull();
        assertThat(MetaCodec.attribute("", "d")).isNull();
        assertThat(MetaCodec.attributeValueIndex(attributes, "d")).isEqualTo(attributes.indexOf("480"));
    }

    @Test
    void parsesLoadReportsInTheOrderOfTheNames() {
        assertThat(MetaCodec.parseLoadReport("q=3,u=0.5", List.of("u", "q"))).containsExactly(0.5f, 3f);
        assertThat(MetaCodec.parseLoadReport("q=3", List.of("u", "q"))).isNull();
        assertThat(MetaCodec.parseLoadReport("q=3,u=x", List.of("u", "q"))).isNull();
        assertThat(MetaCodec.parseLoadReport(null, List.of("u"))).isNull();
        assertThat(MetaCodec.parseLoadReport("q=3", List.of())).isNull();
    }

    @Test
    void writesNumbersInDecimalDigits() {
        Random random = new Random(17);
        for (int i = 0; i < 10_000; i++) {
            int number = random.nextInt() >>> (1 + random.nextInt(31));
            ByteBuf output = Unpooled.buffer();
            MetaCodec.writeDecimal(output, number);
            assertThat(output.toString(StandardCharsets.US_ASCII)).isEqualTo(Integer.toString(number));
        }
    }

    @Test
    void acceptsOnlyPrintableAscii() {
        assertThat(MetaCodec.isPrintable("mg key ~!")).isTrue();
        assertThat(MetaCodec.isPrintable("mg\tkey")).isFalse();
        assertThat(MetaCodec.isPrintable("k\u007f")).isFalse();
        assertThat(MetaCodec.isPrintable("k\u00e9")).isFalse();
    }

    @Test
    void tellsOneLineFromPartsAndSeveral() {
        assertThat(MetaCodec.isOneLine("HD O1\r\n")).isTrue();
        assertThat(MetaCodec.isOneLine("\r\n")).isTrue();
        assertThat(MetaCodec.isOneLine("HD O1")).isFalse();
        assertThat(MetaCodec.isOneLine("\n")).isFalse();
        assertThat(MetaCodec.isOneLine("HD O1 ca\r\nb\r\n")).isFalse();
        assertThat(MetaCodec.isOneLine("HD O1 ca\nb\r\n")).isFalse();
        assertThat(MetaCodec.isOneLine("HD O1 ca\rb\r\n")).isFalse();
    }
}
