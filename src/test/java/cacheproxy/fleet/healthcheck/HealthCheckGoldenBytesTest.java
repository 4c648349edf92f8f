package cacheproxy.fleet.healthcheck;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import org.junit.jupiter.api.Test;

/**
 * The bytes of the datagrams about health checks, which other versions of the program must read and write identically.
 */
class HealthCheckGoldenBytesTest {
    private static final long LEASE_ID = 0x0102030405060708L;
    private static final int SERVER = 0xcafe0001;
    private static final long REQUEST_NUMBER = 0x1112131415161718L;
    private static final long EPOCH = 0x0000019412345678L;
    private static final long LEASE_HOLDER = 0xf1f2f3f4f5f6f7f8L;

    @Test
    void eachKindHasGoldenBytes() {
        assertBytes(HealthCheckMessageKind.REQUEST, "00", false, "00");
        assertBytes(HealthCheckMessageKind.RESULT, "01", true, "01");
        assertBytes(HealthCheckMessageKind.RESULT, "01", false, "00");
        assertBytes(HealthCheckMessageKind.REDIRECT, "02", false, "00");
        assertThat(HealthCheckMessageKind.values()).hasSize(3);
    }

    private static void assertBytes(HealthCheckMessageKind kind, String code, boolean healthy, String healthyCode) {
        byte[] golden =
                HexBytes.parse(code + "0102030405060708 cafe0001 1112131415161718 0000019412345678 f1f2f3f4f5f6f7f8"
                        + healthyCode + "000005dc");
        HealthCheckMessage message =
                new HealthCheckMessage(kind, LEASE_ID, SERVER, REQUEST_NUMBER, EPOCH, LEASE_HOLDER, healthy, 1500);
        assertThat(message.encode()).isEqualTo(golden);
        assertThat(HealthCheckMessage.decode(golden)).isEqualTo(message);
    }

    @Test
    void extremeValuesHaveGoldenBytes() {
        byte[] minBytes = HexBytes.parse(
                "02 0000000000000000 00000000 0000000000000000 0000000000000000 0000000000000000 00 00000000");
        HealthCheckMessage minMessage =
                new HealthCheckMessage(HealthCheckMessageKind.REDIRECT, 0, 0, 0, 0, 0, false, 0);
        assertThat(minMessage.encode()).isEqualTo(minBytes);
        assertThat(HealthCheckMessage.decode(minBytes)).isEqualTo(minMessage);
        byte[] maxBytes = HexBytes.parse(
                "01 ffffffffffffffff ffffffff 8000000000000000 7fffffffffffffff 7fffffffffffffff 01 7fffffff");
        HealthCheckMessage maxMessage = new HealthCheckMessage(
                HealthCheckMessageKind.RESULT,
                -1,
                -1,
                Long.MIN_VALUE,
                Long.MAX_VALUE,
                Long.MAX_VALUE,
                true,
                Integer.MAX_VALUE);
        assertThat(maxMessage.encode()).isEqualTo(maxBytes);
        assertThat(HealthCheckMessage.decode(maxBytes)).isEqualTo(maxMessage);
    }
}
