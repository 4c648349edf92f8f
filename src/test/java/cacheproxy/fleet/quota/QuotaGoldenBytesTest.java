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

/** The bytes of the datagrams about quotas, which other versions of the program must read and write identically. */
class QuotaGoldenBytesTest {
    private static final long LEDGER_ID = 0x0102030405060708L;
    private static final long REQUEST_ID = 0x1112131415161718L;
    private static final long EPOCH = 0x0000019412345678L;
    private static final long QUOTA_ID = 0xf1f2f3f4f5f6f7f8L;
    private static final String HEADER = "0102030405060708 1112131415161718 0000019412345678";

    @Test
    void encodesAndDecodesEachKind() {
        assertBytes(Kind.REQUEST, "00");
        assertBytes(Kind.GRANT, "01");
        assertBytes(Kind.SOLICIT, "02");
        assertBytes(Kind.DONATE, "03");
        assertThat(Kind.values()).hasSize(4);
    }

    private static void assertBytes(Kind kind, String code) {
        byte[] golden = HexBytes.parse(code + HEADER + "f1f2f3f4f5f6f7f8 40200000 0000000000000002 00000000");
        QuotaMessage message = new QuotaMessage(
                kind, LEDGER_ID, REQUEST_ID, EPOCH, List.of(new Entry(QUOTA_ID, 2.5), new Entry(2, 0)));
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(QuotaMessage.decode(golden)).isEqualTo(message);
    }

    @Test
    void encodesAndDecodesMessageWithoutEntriesAndEpoch() {
        byte[] golden = HexBytes.parse("02 ffffffffffffffff 0000000000000000 0000000000000000");
        QuotaMessage message = new QuotaMessage(Kind.SOLICIT, -1, 0, 0, List.of());
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(QuotaMessage.decode(golden)).isEqualTo(message);
    }

    @Test
    void encodesAndDecodesMessageWithMaxEntries() {
        byte[] golden = HexBytes.parse("03" + HEADER + "f1f2f3f4f5f6f7f8 4e6e6b28".repeat(QuotaMessage.MAX_ENTRIES));
        QuotaMessage message = new QuotaMessage(
                Kind.DONATE, LEDGER_ID, REQUEST_ID, EPOCH, Collections.nCopies(15, new Entry(QUOTA_ID, 1e9)));
        assertThat(golden).hasSize(205);
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(QuotaMessage.decode(golden)).isEqualTo(message);
    }

    /**
     * The nearest float to 0.1 is 3dcccccd, which is larger; the nearest to 0.3 is 3e99999a, which is also larger; the
     * nearest to 0.7 is 3f333333, which is smaller.
     */
    @ParameterizedTest
    @CsvSource({"0.1,3dcccccc", "0.3,3e999999", "0.7,3f333333"})
    void roundsAmountDown(double amount, String bytes) {
        byte[] golden = HexBytes.parse("01" + HEADER + "0000000000000001" + bytes);
        assertThat(new QuotaMessage(Kind.GRANT, LEDGER_ID, REQUEST_ID, EPOCH, List.of(new Entry(1, amount))).encode())
                .isEqualTo(golden);
        double rounded = Float.intBitsToFloat(Integer.parseInt(bytes, 16));
        assertThat(QuotaMessage.decode(golden))
                .isEqualTo(new QuotaMessage(Kind.GRANT, LEDGER_ID, REQUEST_ID, EPOCH, List.of(new Entry(1, rounded))));
    }
}
