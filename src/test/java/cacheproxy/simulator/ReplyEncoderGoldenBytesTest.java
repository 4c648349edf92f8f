package cacheproxy.simulator;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * The bytes of replies to the simulator, which is another program: a header of length, number of records and number of
 * the batch, records of 24 bytes, the tail. Numbers are little-endian.
 */
class ReplyEncoderGoldenBytesTest {
    private static final String EACH_RECORD = """
            75010000 0e000000 04030201
            0a 0300 c4913a5d 2c9011f2 0000000000719740 0000000000
            14 0300 c4913a5d 0000000000803440 000000000000000000
            1e 0300 c4913a5d 0000000000000000 000000000000000000
            28 0300 c4913a5d 02 00000000000000000000000000000000
            32 0300 0000000000803440 09000080 000000000000000000
            3c ffff 2c9011f2 0000000000000000 000000000000000000
            46 ffff 2c9011f2 0000000000000000 000000000000000000
            50 ffff ffffffff 00000000 03000000 000000000000000000
            50 ffff 02000000 03000000 00000000 000000000000000000
            5a ffff 03000000 06000000 00000000000000000000000000
            64 ffff 09000000 10000000 00000000000000000000000000
            6e 0300 01 0000000000000000000000000000000000000000
            6e 0300 00 0000000000000000000000000000000000000000
            78 0300 000000000000000000000000000000000000000000
            5600ff 67c3a9207061 6120636c6173732069732077726f6e67
            """;

    @Test
    void encodesEachAction() throws IOException {
        ReplyEncoder encoder = new ReplyEncoder();
        encoder.begin();
        encoder.actAs(3);
        encoder.sendAttempt(0x5d3a91c4, 0xf211902c, 1500.25);
        encoder.reject(0x5d3a91c4, 20.5);
        encoder.fail(0x5d3a91c4);
        encoder.cancelAttempt(0x5d3a91c4, 2);
        encoder.setTimer(20.5, 0x80000009);
        encoder.actAs(0xffff);
        encoder.probeServer(0xf211902c);
        encoder.closeIdleConnections(0xf211902c);
        encoder.sendToPeer(-1, new byte[] {0x56, 0, -1});
        encoder.sendToPeer(2, new byte[0]);
        encoder.log("g\u00e9 pa");
        encoder.fault("a class is wrong");
        encoder.actAs(3);
        encoder.watchEndpointList(true);
        encoder.watchEndpointList(false);
        encoder.fetchEndpointList();
        assertThat(written(encoder, 0x01020304)).isEqualTo(HexBytes.parse(EACH_RECORD));
    }

    /** What an earlier batch left in the buffer is in no later reply. */
    @Test
    void encodesSecondReplyWithoutRestOfFirst() throws IOException {
        ReplyEncoder encoder = new ReplyEncoder();
        encoder.begin();
        encoder.actAs(-1);
        encoder.sendAttempt(-1, -1, Double.NaN);
        encoder.log("x");
        written(encoder, -1);
        encoder.begin();
        encoder.actAs(1);
        encoder.fail(7);
        assertThat(written(encoder, 2)).isEqualTo(HexBytes.parse("""
                24000000 01000000 02000000
                1e 0100 07000000 0000000000000000 000000000000000000
                """));
    }

    /** Records and tail grow past the sizes that they begin with. */
    @Test
    void growsForLargeReply() throws IOException {
        ReplyEncoder encoder = new ReplyEncoder();
        encoder.begin();
        encoder.actAs(1);
        for (int i = 0; i < 4000; i++) {
            encoder.log("0123");
        }
        byte[] reply = written(encoder, 1);
        assertThat(reply).startsWith(HexBytes.parse("8cb50100 a00f0000 01000000 5a 0100 00000000 04000000"));
        assertThat(new String(reply, 12 + 24 * 4000, 16_000, StandardCharsets.US_ASCII))
                .isEqualTo("0123".repeat(4000));
        assertThat(reply).hasSize(12 + 24 * 4000 + 16_000);
    }

    private static byte[] written(ReplyEncoder encoder, int batch) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        encoder.write(out, batch);
        return out.toByteArray();
    }
}
