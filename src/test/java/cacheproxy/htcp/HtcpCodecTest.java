package cacheproxy.htcp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.htcp.HtcpMessage.Body;
import cacheproxy.htcp.HtcpMessage.CacheHeaders;
import cacheproxy.htcp.HtcpMessage.Change;
import cacheproxy.htcp.HtcpMessage.Clear;
import cacheproxy.htcp.HtcpMessage.Detail;
import cacheproxy.htcp.HtcpMessage.Empty;
import cacheproxy.htcp.HtcpMessage.Identity;
import cacheproxy.htcp.HtcpMessage.Monitor;
import cacheproxy.htcp.HtcpMessage.Opcode;
import cacheproxy.htcp.HtcpMessage.Specifier;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Encodes and decodes HTCP datagrams. The vectors are worked out by hand from RFC 2756; no encoder produced them. */
class HtcpCodecTest {
    private static final Specifier GET = new Specifier("GET", "a", "1.1", "");
    private static final Detail DETAIL = new Detail("A: b\r\n", "", "C: d\r\n");
    private static final InetSocketAddress HERE = new InetSocketAddress(InetAddress.getLoopbackAddress(), 4827);
    private static final InetSocketAddress THERE = new InetSocketAddress("127.0.0.2", 4828);

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replace(" ", ""));
    }

    private static HtcpDatagram decode(byte[] bytes) throws MalformedMessageException {
        return HtcpCodec.decode(bytes, 0, bytes.length);
    }

    private static byte[] encode(HtcpMessage message) {
        return HtcpCodec.encodeDatagram(HtcpCodec.encodeData(message), null);
    }

    /** 14 octets, 0.0; DATA of 8: NOP, RD, transaction 0x0a0b0c0d; AUTH of 2. */
    @Test
    void encodesAndDecodesTheGoldenNop() throws Exception {
        byte[] bytes = hex("000e 00 00 0008 00 02 0a0b0c0d 0002");
        HtcpMessage message = HtcpMessage.request(Opcode.NOP, 0x0a0b0c0d, new Empty());
        assertThat(decode(bytes).message()).isEqualTo(message);
        assertThat(decode(bytes).auth()).isNull();
        assertThat(encode(message)).isEqualTo(bytes);
        assertThat(encode(message.respond(0, new Empty()))).isEqualTo(hex("000e 00 00 0008 00 01 0a0b0c0d 0002"));
        assertThat(encode(message.rejectMessage(HtcpMessage.INAPPROPRIATE)))
                .isEqualTo(hex("000e 00 00 0008 05 03 0a0b0c0d 0002"));
    }

    /** TST of GET a: four strings of 3, 1, 3 and 0 octets, each preceded by its length. */
    @Test
    void encodesAndDecodesTheGoldenTestAndItsResponses() throws Exception {
        byte[] bytes = hex("001d 00 00 0017 10 02 00000001 0003474554 000161 0003312e31 0000 0002");
        HtcpMessage message = HtcpMessage.request(Opcode.TST, 1, GET);
        assertThat(encode(message)).isEqualTo(bytes);
        assertThat(decode(bytes).message()).isEqualTo(message);
        byte[] present = hex("0020 00 00 001a 10 01 00000001 0006413a20620d0a 0000 0006433a20640d0a 0002");
        assertThat(decode(present).message()).isEqualTo(message.respond(HtcpMessage.TST_PRESENT, DETAIL));
        assertThat(encode(message.respond(HtcpMessage.TST_PRESENT, DETAIL))).isEqualTo(present);
        byte[] absent = hex("0010 00 00 000a 11 01 00000001 0000 0002");
        assertThat(decode(absent).message()).isEqualTo(message.respond(HtcpMessage.TST_ABSENT, new CacheHeaders("")));
        assertThat(encode(message.respond(HtcpMessage.TST_ABSENT, new CacheHeaders(""))))
                .isEqualTo(absent);
    }

    /** CLR: 12 reserved bits, 4 bits of the reason, then the specifier. */
    @Test
    void encodesAndDecodesTheGoldenClear() throws Exception {
        byte[] bytes = hex("001f 00 00 0019 40 02 00000001 0001 0003474554 000161 0003312e31 0000 0002");
        HtcpMessage message = HtcpMessage.request(Opcode.CLR, 1, new Clear(1, GET));
        assertThat(encode(message)).isEqualTo(bytes);
        assertThat(decode(bytes).message()).isEqualTo(message);
        assertThat(decode(hex("001f 00 00 0019 40 02 00000001 fff1 0003474554 000161 0003312e31 0000 0002"))
                        .message())
                .as("reserved bits are ignored")
                .isEqualTo(message);
    }

    /** MON: one octet of seconds; its response: seconds, action and reason of four bits each, an identity. */
    @Test
    void encodesAndDecodesTheGoldenMonitor() throws Exception {
        byte[] bytes = hex("000f 00 00 0009 20 02 00000001 ff 0002");
        HtcpMessage message = HtcpMessage.request(Opcode.MON, 1, new Monitor(255));
        assertThat(encode(message)).isEqualTo(bytes);
        assertThat(decode(bytes).message()).isEqualTo(message);
        HtcpMessage change = message.respond(
                HtcpMessage.MON_ACCEPTED, new Change(200, 3, 5, new Identity(GET, new Detail("", "", ""))));
        byte[] notification =
                hex("0025 00 00 001f 20 01 00000001 c8 35 0003474554 000161 0003312e31 0000 0000 0000 0000 0002");
        assertThat(encode(change)).isEqualTo(notification);
        assertThat(decode(notification).message()).isEqualTo(change);
        assertThat(decode(hex("000e 00 00 0008 21 01 00000001 0002")).message().responseCode())
                .isEqualTo(HtcpMessage.MON_REFUSED);
    }

    @Test
    void decodesEveryBodyThatItEncodes() throws Exception {
        List<HtcpMessage> all = List.of(
                HtcpMessage.request(Opcode.SET, 7, new Identity(GET, DETAIL)),
                HtcpMessage.request(Opcode.SET, 7, new Identity(GET, DETAIL))
                        .respond(HtcpMessage.SET_IGNORED, new Empty()),
                HtcpMessage.request(Opcode.CLR, 7, new Clear(0, GET)).respond(HtcpMessage.CLR_ABSENT, new Empty()),
                HtcpMessage.request(
                        Opcode.TST, 7, new Specifier("HEAD", "http://\u00e4/", "HTTP/1.0", "X: y\r\n".repeat(999))));
        for (HtcpMessage message : all) {
            assertThat(decode(encode(message)).message()).isEqualTo(message);
        }
    }

    /** An unknown major version can be reported with its transaction id, and so can an unknown opcode. */
    @Test
    void decodesUnknownVersionsAndOpcodesAsFarAsAResponseNeeds() throws Exception {
        HtcpDatagram unknownVersion = decode(hex("000e 01 07 0008 f0 02 0a0b0c0d 0002"));
        assertThat(unknownVersion.majorVersion()).isEqualTo(1);
        assertThat(unknownVersion.message()).isNull();
        assertThat(unknownVersion.transactionId()).isEqualTo(0x0a0b0c0d);
        HtcpDatagram unknownOpcode = decode(hex("000e 00 00 0008 50 02 0a0b0c0d 0002"));
        assertThat(unknownOpcode.message()).isNull();
        assertThat(unknownOpcode.opcode()).isEqualTo(5);
        assertThat(decode(hex("000e 00 09 0008 00 02 0a0b0c0d 0002")).message().minorVersion())
                .isEqualTo(9);
        // Octets after AUTH are padding; reserved bits of DATA are ignored.
        assertThat(decode(hex("0011 00 00 0008 00 fe 0a0b0c0d 0002 ffffff")).message())
                .isEqualTo(HtcpMessage.request(Opcode.NOP, 0x0a0b0c0d, new Empty()));
        // With MO = 1, OP-DATA is whatever the other side echoes, and is ignored.
        assertThat(decode(hex("0010 00 00 000a 13 03 00000001 abcd 0002"))
                        .message()
                        .body())
                .isEqualTo(new Empty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "000d 00 00 0008 00 02 0a0b0c0d 00 | shorter than header",
                "000f 00 00 0008 00 02 0a0b0c0d 0002 | not that of the datagram",
                "000e 00 00 0007 00 02 0a0b0c0d 0002 | DATA is not within",
                "000e 00 00 0009 00 02 0a0b0c0d 0002 | DATA is not within",
                "000e 00 00 ffff 00 02 0a0b0c0d 0002 | DATA is not within",
                "000e 00 00 0008 00 02 0a0b0c0d 0003 | AUTH is not within",
                "000e 00 00 0008 00 02 0a0b0c0d 0001 | AUTH is not within",
                "000e 00 00 0008 00 02 0a0b0c0d ffff | AUTH is not within",
                "0010 00 00 000a 00 02 0a0b0c0d 0000 0002 | octets behind OP-DATA",
                "0010 00 00 000a 10 02 0a0b0c0d 0001 0002 | a string is longer",
                "0010 00 00 000a 10 02 0a0b0c0d 0000 0002 | OP-DATA ends early",
                "000f 00 00 0009 10 02 0a0b0c0d 00 0002 | OP-DATA ends early",
                "000e 00 00 0008 20 02 0a0b0c0d 0002 | OP-DATA ends early",
                "001a 00 00 0008 00 02 0a0b0c0d 000e 00000000 00000000 0003 0000 | a string is longer",
                "001b 00 00 0008 00 02 0a0b0c0d 000f 00000000 00000000 0000 0000 00 | octets behind the signature"
            })
    void rejectsTruncatedOverlongAndInconsistentDatagrams(String bytes, String expectedMessage) {
        assertThatThrownBy(() -> decode(hex(bytes)))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining(expectedMessage);
    }

    @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
    @Test
    void decodesOrRejectsCorruptedDatagrams() throws Exception {
        SplittableRandom random = new SplittableRandom(3);
        HtcpSigner signer = new HtcpSigner("k", new byte[] {1});
        Body[] bodies = {new Empty(), GET, new Monitor(9), new Identity(GET, DETAIL), new Clear(1, GET)};
        int decodedCount = 0;
        for (int i = 0; i < 60_000; i++) {
            int opcode = random.nextInt(5);
            byte[] data = HtcpCodec.encodeData(HtcpMessage.request(Opcode.values()[opcode], i, bodies[opcode]));
            byte[] bytes =
                    HtcpCodec.encodeDatagram(data, random.nextBoolean() ? null : signer.sign(data, HERE, THERE, i, 60));
            for (int remaining = random.nextInt(3); remaining > 0; remaining--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            if (random.nextInt(4) == 0) {
                bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 8));
                if (bytes.length > 1 && random.nextBoolean()) {
                    bytes[0] = (byte) (bytes.length >> 8);
                    bytes[1] = (byte) bytes.length;
                }
            }
            try {
                HtcpDatagram datagram = decode(bytes);
                if (datagram.message() != null
                        && !(datagram.isResponse() && datagram.message().flag())) {
                    assertThat(decode(encode(datagram.message())).message().body())
                            .isEqualTo(datagram.message().body());
                }
                decodedCount++;
            } catch (MalformedMessageException e) {
                assertThat(e.getMessage()).isNotBlank();
            }
        }
        assertThat(decodedCount).isBetween(10_000, 55_000);
    }

    // ---- signatures

    /** Assembles the octets that the RFC lists, without using the signer. */
    @Test
    void signatureCoversTheFieldsOfTheRfc() throws Exception {
        byte[] data = HtcpCodec.encodeData(HtcpMessage.request(Opcode.TST, 1, GET));
        byte[] secret = "secret".getBytes(StandardCharsets.US_ASCII);
        ByteBuffer signedOctets = ByteBuffer.allocate(200)
                .put(hex("7f000001 12db 7f000002 12dc 00 00 00000064 000000a0"))
                .put(data)
                .put(hex("0003"))
                .put("key".getBytes(StandardCharsets.US_ASCII));
        Mac mac = Mac.getInstance("HmacMD5");
        mac.init(new SecretKeySpec(secret, "HmacMD5"));
        mac.update(signedOctets.array(), 0, signedOctets.position());
        HtcpAuth auth = new HtcpSigner("key", secret).sign(data, HERE, THERE, 100, 60);
        assertThat(auth).isEqualTo(new HtcpAuth(100, 160, "key", mac.doFinal()));
        byte[] datagram = HtcpCodec.encodeDatagram(data, auth);
        assertThat(decode(datagram).auth()).isEqualTo(auth);
        assertThat(Arrays.copyOfRange(datagram, 4 + data.length, 4 + data.length + 15))
                .isEqualTo(hex("0021 00000064 000000a0 00036b6579"));
    }

    @Test
    void verifiesOnlyTheRightKeyTimeAndAddresses() throws Exception {
        HtcpSigner signer = new HtcpSigner("key", new byte[] {1, 2, 3});
        byte[] data = HtcpCodec.encodeData(HtcpMessage.request(Opcode.CLR, 1, new Clear(0, GET)));
        byte[] bytes = HtcpCodec.encodeDatagram(data, signer.sign(data, HERE, THERE, 1000, 60));
        HtcpDatagram datagram = decode(bytes);
        assertThat(signer.verify(datagram, HERE, THERE, 1000, 5)).isEqualTo(HtcpSigner.Verdict.VALID);
        assertThat(signer.verify(datagram, HERE, THERE, 1060, 5)).isEqualTo(HtcpSigner.Verdict.VALID);
        assertThat(signer.verify(datagram, HERE, THERE, 1061, 5)).isEqualTo(HtcpSigner.Verdict.EXPIRED);
        assertThat(signer.verify(datagram, HERE, THERE, 995, 5)).isEqualTo(HtcpSigner.Verdict.VALID);
        assertThat(signer.verify(datagram, HERE, THERE, 994, 5)).isEqualTo(HtcpSigner.Verdict.NOT_YET_VALID);
        assertThat(signer.verify(datagram, THERE, HERE, 1000, 5))
                .as("source and destination exchanged")
                .isEqualTo(HtcpSigner.Verdict.BAD_SIGNATURE);
        assertThat(signer.verify(datagram, HERE, new InetSocketAddress("127.0.0.2", 1), 1000, 5))
                .isEqualTo(HtcpSigner.Verdict.BAD_SIGNATURE);
        assertThat(new HtcpSigner("key", new byte[] {1, 2, 4}).verify(datagram, HERE, THERE, 1000, 5))
                .isEqualTo(HtcpSigner.Verdict.BAD_SIGNATURE);
        assertThat(new HtcpSigner("other", new byte[] {1, 2, 3}).verify(datagram, HERE, THERE, 1000, 5))
                .isEqualTo(HtcpSigner.Verdict.UNKNOWN_KEY);
        assertThat(signer.verify(decode(HtcpCodec.encodeDatagram(data, null)), HERE, THERE, 1000, 5))
                .isEqualTo(HtcpSigner.Verdict.NOT_SIGNED);
        int acceptedCount = 0;
        for (int bit = 16; bit < bytes.length * 8; bit++) {
            byte[] corrupted = bytes.clone();
            corrupted[bit / 8] ^= (byte) (1 << bit % 8);
            try {
                acceptedCount +=
                        signer.verify(decode(corrupted), HERE, THERE, 1000, 5) == HtcpSigner.Verdict.VALID ? 1 : 0;
            } catch (MalformedMessageException e) {
                // dropped
            }
        }
        assertThat(acceptedCount)
                .as("accepted with one bit changed; changes of the major version are recognized earlier")
                .isLessThanOrEqualTo(8);
    }
}
