package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** LEB128 numbers, as {@link WasmWriter} writes them and {@link WasmReader} reads them. */
class WasmNumbersTest {
    private static WasmReader reader(String hex) {
        return new WasmReader(HexFormat.of().parseHex(hex));
    }

    @ParameterizedTest
    @CsvSource({"0,00", "127,7f", "128,8001", "624485,e58e26", "2147483647,ffffffff07", "-1,ffffffff0f"})
    void writesAndReadsU32(int value, String hex) throws Exception {
        WasmWriter writer = new WasmWriter();
        writer.writeU32(value);
        assertThat(HexFormat.of().formatHex(writer.toByteArray())).isEqualTo(hex);
        WasmReader reader = reader(hex);
        assertThat(reader.readU32()).isEqualTo(value);
        assertThat(reader.remaining()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "0,00",
        "63,3f",
        "64,c000",
        "-1,7f",
        "-64,40",
        "-65,bf7f",
        "-123456,c0bb78",
        "9223372036854775807,ffffffffffffffffff00",
        "-9223372036854775808,8080808080808080807f"
    })
    void writesS64AndSkipsIt(long value, String hex) throws Exception {
        WasmWriter writer = new WasmWriter();
        writer.writeS64(value);
        assertThat(HexFormat.of().formatHex(writer.toByteArray())).isEqualTo(hex);
        WasmReader reader = reader(hex);
        reader.skipNumber(Long.SIZE);
        assertThat(reader.remaining()).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {32, 33, 64})
    void rejectsNumbersOfTooManyBytes(int bits) {
        assertThatThrownBy(() -> reader("80".repeat(12)).skipNumber(bits))
                .isInstanceOf(HookException.class)
                .hasMessage("a number at byte " + (bits + 6) / 7 + " is too long");
        assertThatThrownBy(() -> reader("80".repeat(12)).readU32())
                .isInstanceOf(HookException.class)
                .hasMessage("a number at byte 5 is too long");
    }

    @Test
    void readsNamesWithinTheModule() throws Exception {
        assertThat(reader("0268c3a9").readName()).isEqualTo("h\ufffd");
        assertThat(reader("03" + "68c3a9").readName()).isEqualTo("h\u00e9");
        assertThatThrownBy(() -> reader("0468c3a9").readName())
                .isInstanceOf(HookException.class)
                .hasMessage("a name at byte 1 goes beyond the module's end");
    }
}
