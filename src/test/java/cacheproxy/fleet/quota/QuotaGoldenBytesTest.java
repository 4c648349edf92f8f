package cacheproxy.fleet.quota;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import cacheproxy.fleet.quota.QuotaMessage.Entry;
import cacheproxy.fleet.quota.QuotaMessage.Kind;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The bytes of the datagrams about limits: another version of the program must read and write the same. */
class QuotaGoldenBytesTest {
    private static final long BOOK = 0x0102030405060708L;
    private static final long NUMBER = 0x1112131415161718L;
    private static final long EPOCH = 0x0000019412345678L;
    private static final long LIMIT = 0xf1f2f3f4f5f6f7f8L;
    private static final String HEAD = "0102030405060708 1112131415161718 0000019412345678";

    @Test
    void eachKindHasItsBytes() {
        assertBytes(Kind.WANT, "00");
        assertBytes(Kind.GRANT, "01");
        assertBytes(Kind.CALL, "02");
        assertBytes(Kind.LOAN, "03");
        assertThat(Kind.values()).hasSize(4);
    }

    private static void assertBytes(Kind kind, String code) {
        byte[] golden = HexBytes.parse(code + HEAD + "f1f2f3f4f5f6f7f8 40200000 0000000000000002 00000000");
        QuotaMessage message =
                new QuotaMessage(kind, BOOK, NUMBER, EPOCH, List.of(new Entry(LIMIT, 2.5), new Entry(2, 0)));
        assertThat(message.bytes()).isEqualTo(golden);
        assertThat(QuotaMessage.of(golden)).isEqualTo(message);
    }

    @Test
    void aMessageWithoutLimitsAndWithoutAnEpochHasItsBytes() {
        byte[] golden = HexBytes.parse("02 ffffffffffffffff 0000000000000000 0000000000000000");
        QuotaMessage message = new QuotaMessage(Kind.CALL, -1, 0, 0, List.of());
        assertThat(message.bytes()).isEqualTo(golden);
        assertThat(QuotaMessage.of(golden)).isEqualTo(message);
    }

    @Test
    void aFullMessageHasItsBytes() {
        byte[] golden = HexBytes.parse("03" + HEAD + "f1f2f3f4f5f6f7f8 4e6e6b28".repeat(QuotaMessage.MOST_ENTRIES));
        QuotaMessage message =
                new QuotaMessage(Kind.LOAN, BOOK, NUMBER, EPOCH, Collections.nCopies(15, new Entry(LIMIT, 1e9)));
        assertThat(golden).hasSize(205);
        assertThat(message.bytes()).isEqualTo(golden);
        assertThat(QuotaMessage.of(golden)).isEqualTo(message);
    }

    /**
     * The nearest float to 0.1 is 3dcccccd, which is more; to 0.3 it is 3e99999a, which is more, too; 0.7's 3f333333 is
     * less.
     */
    @ParameterizedTest
    @CsvSource({"0.1,3dcccccc", "0.3,3e999999", "0.7,3f333333"})
    void anAmountIsRoundedDown(double amount, String bytes) {
        byte[] golden = HexBytes.parse("01" + HEAD + "0000000000000001" + bytes);
        assertThat(new QuotaMessage(Kind.GRANT, BOOK, NUMBER, EPOCH, List.of(new Entry(1, amount))).bytes())
                .isEqualTo(golden);
        double rounded = Float.intBitsToFloat(Integer.parseInt(bytes, 16));
        assertThat(QuotaMessage.of(golden))
                .isEqualTo(new QuotaMessage(Kind.GRANT, BOOK, NUMBER, EPOCH, List.of(new Entry(1, rounded))));
    }
}
