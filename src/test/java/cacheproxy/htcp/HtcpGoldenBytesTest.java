package cacheproxy.htcp;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import cacheproxy.htcp.HtcpMessage.CacheHeaders;
import cacheproxy.htcp.HtcpMessage.Clear;
import cacheproxy.htcp.HtcpMessage.Detail;
import cacheproxy.htcp.HtcpMessage.Empty;
import cacheproxy.htcp.HtcpMessage.Identity;
import cacheproxy.htcp.HtcpMessage.Opcode;
import cacheproxy.htcp.HtcpMessage.Specifier;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Golden bytes of the HTCP datagrams for which {@link HtcpCodecTest} has no vector: SET, responses without OP-DATA, and
 * a signed datagram.
 */
class HtcpGoldenBytesTest {
    private static final Specifier GET = new Specifier("GET", "a", "1.1", "");
    private static final Detail DETAIL = new Detail("A: b\r\n", "E: \u00e9\r\n", "C: d\r\n");
    private static final InetSocketAddress HERE = new InetSocketAddress(InetAddress.getLoopbackAddress(), 4827);
    private static final InetSocketAddress THERE = new InetSocketAddress("127.0.0.2", 4828);

    private static void assertBytes(HtcpMessage message, String digits) throws MalformedMessageException {
        byte[] golden = HexBytes.parse(digits);
        assertThat(HtcpCodec.encodeDatagram(HtcpCodec.encodeData(message), null))
                .isEqualTo(golden);
        assertThat(HtcpCodec.decode(golden, 0, golden.length).message()).isEqualTo(message);
    }

    @Test
    void encodesAndDecodesTheGoldenSetAndItsResponses() throws Exception {
        HtcpMessage set = HtcpMessage.request(Opcode.SET, 0x80000007, new Identity(GET, DETAIL));
        assertBytes(
                set,
                "0035 00 00 002f 30 02 80000007 0003474554 000161 0003312e31 0000"
                        + "0006413a20620d0a 0006453a20e90d0a 0006433a20640d0a 0002");
        assertBytes(set.respond(HtcpMessage.SET_ACCEPTED, new Empty()), "000e 00 00 0008 30 01 80000007 0002");
        assertBytes(set.respond(HtcpMessage.SET_IGNORED, new Empty()), "000e 00 00 0008 31 01 80000007 0002");
    }

    @Test
    void encodesAndDecodesTheGoldenClearWithoutReasonAndItsResponses() throws Exception {
        HtcpMessage clear =
                HtcpMessage.request(Opcode.CLR, 1, new Clear(0, new Specifier("HEAD", "a", "1.1", "A: b\r\n")));
        assertBytes(clear, "0026 00 00 0020 40 02 00000001 0000 000448454144 000161 0003312e31 0006413a20620d0a 0002");
        assertBytes(clear.respond(HtcpMessage.CLR_REMOVED, new Empty()), "000e 00 00 0008 40 01 00000001 0002");
        assertBytes(clear.respond(HtcpMessage.CLR_KEPT, new Empty()), "000e 00 00 0008 41 01 00000001 0002");
        assertBytes(clear.respond(HtcpMessage.CLR_ABSENT, new Empty()), "000e 00 00 0008 42 01 00000001 0002");
    }

    @Test
    void encodesAndDecodesTheGoldenRejections() throws Exception {
        HtcpMessage test = HtcpMessage.request(Opcode.TST, 1, GET);
        assertBytes(
                test.respond(HtcpMessage.TST_ABSENT, new CacheHeaders("C: d\r\n")),
                "0016 00 00 0010 11 01 00000001 0006433a20640d0a 0002");
        assertBytes(test.rejectMessage(HtcpMessage.AUTH_REQUIRED), "000e 00 00 0008 10 03 00000001 0002");
        assertBytes(test.rejectMessage(HtcpMessage.AUTH_FAILED), "000e 00 00 0008 11 03 00000001 0002");
        assertBytes(test.rejectMessage(HtcpMessage.NOT_IMPLEMENTED), "000e 00 00 0008 12 03 00000001 0002");
        assertBytes(test.rejectMessage(HtcpMessage.MAJOR_NOT_SUPPORTED), "000e 00 00 0008 13 03 00000001 0002");
        assertBytes(test.rejectMessage(HtcpMessage.MINOR_NOT_SUPPORTED), "000e 00 00 0008 14 03 00000001 0002");
        assertBytes(
                HtcpMessage.request(Opcode.MON, 1, new HtcpMessage.Monitor(0))
                        .respond(HtcpMessage.MON_REFUSED, new Empty()),
                "000e 00 00 0008 21 01 00000001 0002");
    }

    /** The signature is the HMAC-MD5 that another implementation computed over the fields that RFC 2756 lists. */
    @Test
    void encodesAndVerifiesTheGoldenSignedTest() throws Exception {
        byte[] golden = HexBytes.parse("003c 00 00 0017 10 02 00000001 0003474554 000161 0003312e31 0000"
                + "0021 00000064 000000a0 00036b6579 0010772fb61cadd0389bba618b29bad08cbc");
        HtcpMessage test = HtcpMessage.request(Opcode.TST, 1, GET);
        byte[] data = HtcpCodec.encodeData(test);
        HtcpSigner signer = new HtcpSigner("key", "secret".getBytes(StandardCharsets.US_ASCII));
        assertThat(HtcpCodec.encodeDatagram(data, signer.sign(data, HERE, THERE, 100, 60)))
                .isEqualTo(golden);
        HtcpDatagram decoded = HtcpCodec.decode(golden, 0, golden.length);
        assertThat(decoded.message()).isEqualTo(test);
        assertThat(signer.verify(decoded, HERE, THERE, 100, 0)).isEqualTo(HtcpSigner.Verdict.VALID);
    }
}
