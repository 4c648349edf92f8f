package cacheproxy.fleet.peer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import cacheproxy.fleet.peer.PeerListTransition.Standing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * The bytes of a datagram's envelope and of the word on lists of peers. Sums and codes come from another implementation
 * of them.
 */
class PeersGoldenBytesTest {
    private static final byte[] KEY = "golden key of the fleet".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_KEY = "another key".getBytes(StandardCharsets.UTF_8);
    private static final long SENDER = 0x0102030405060708L;
    private static final long RECEIVER = 2;
    private static final long LIFE = 0x000001941f297c00L;
    private static final List<Long> PEERS = List.of(SENDER, RECEIVER);
    private static final byte[] PAYLOAD = HexBytes.parse("00ff7f80");

    /** Mark, form and topic; sender; life; number; payload; CRC-32C. */
    private static final byte[] SUMMED =
            HexBytes.parse("63 01 01 0102030405060708 000001941f297c00 0000000000000001 00ff7f80 5b6fac4d");

    private static final byte[] SUMMED_EMPTY =
            HexBytes.parse("63 01 06 0102030405060708 000001941f297c00 0000000000000002 ef4c8b42");
    /** The same with the first 16 bytes of the HMAC-SHA256. */
    private static final byte[] SIGNED =
            HexBytes.parse("63 01 01 0102030405060708 000001941f297c00 0000000000000001 00ff7f80"
                    + "4a13a060b4edec774d62f518ba3b30e9");

    private static final byte[] SIGNED_EMPTY = HexBytes.parse(
            "63 01 06 0102030405060708 000001941f297c00 0000000000000002" + "7a545d06978b9288e123d317a16f675b");

    @Test
    void anEnvelopeWithASumHasItsBytes() {
        DatagramEnvelope sender = new DatagramEnvelope(SENDER, LIFE, List.of(), PEERS);
        assertThat(sender.seal(RECEIVER, (byte) 1, PAYLOAD)).isEqualTo(SUMMED);
        assertThat(sender.seal(RECEIVER, (byte) 6, new byte[0])).isEqualTo(SUMMED_EMPTY);
        DatagramEnvelope receiver = new DatagramEnvelope(RECEIVER, 1, List.of(), PEERS);
        opens(receiver, SUMMED, (byte) 1, PAYLOAD);
        opens(receiver, SUMMED_EMPTY, (byte) 6, new byte[0]);
    }

    @Test
    void aSignedEnvelopeHasItsBytes() {
        DatagramEnvelope sender = new DatagramEnvelope(SENDER, LIFE, List.of(KEY, OTHER_KEY), PEERS);
        assertThat(sender.seal(RECEIVER, (byte) 1, PAYLOAD)).isEqualTo(SIGNED);
        assertThat(sender.seal(RECEIVER, (byte) 6, new byte[0])).isEqualTo(SIGNED_EMPTY);
        DatagramEnvelope receiver = new DatagramEnvelope(RECEIVER, 1, List.of(OTHER_KEY, KEY), PEERS);
        opens(receiver, SIGNED, (byte) 1, PAYLOAD);
        opens(receiver, SIGNED_EMPTY, (byte) 6, new byte[0]);
    }

    /** Each receiver has numbers of its own. */
    @Test
    void theNumbersToOneReceiverAreNotThoseToAnother() {
        DatagramEnvelope sender = new DatagramEnvelope(SENDER, LIFE, List.of(), PEERS);
        sender.seal(3, (byte) 1, PAYLOAD);
        assertThat(sender.seal(RECEIVER, (byte) 1, PAYLOAD)).isEqualTo(SUMMED);
    }

    private static void opens(DatagramEnvelope receiver, byte[] datagram, byte topic, byte[] payload) {
        assertThat(DatagramEnvelope.claimedSender(datagram)).isEqualTo(SENDER);
        DatagramEnvelope.Opened opened = receiver.open(datagram, 0);
        assertThat(opened.sender()).isEqualTo(SENDER);
        assertThat(opened.topic()).isEqualTo(topic);
        assertThat(opened.payload()).isEqualTo(payload);
    }

    private static final Set<String> OLD = Set.of("p3", "p1", "p2");
    private static final Set<String> NEW = Set.of("p\u00e9", "p5", "p4", "p3");
    /**
     * The number of names and the CRC-32C of them in order, each with a line feed; then the same of the list that is
     * left.
     */
    private static final byte[] BY_OLD = HexBytes.parse("00000003 04e5f200 0000000000000000");

    private static final byte[] FROM_OLD_TO_NEW = HexBytes.parse("00000004 511259b7 00000003 04e5f200");

    @Test
    void theWordOnListsHasItsBytes() {
        assertThat(by(OLD, Set.of()).message()).isEqualTo(BY_OLD);
        assertThat(by(NEW, OLD).message()).isEqualTo(FROM_OLD_TO_NEW);
        assertThat(standing(by(OLD, Set.of()), BY_OLD)).isEqualTo(Standing.SAME);
        assertThat(standing(by(NEW, OLD), FROM_OLD_TO_NEW)).isEqualTo(Standing.SAME);
        assertThat(standing(by(NEW, OLD), BY_OLD)).isEqualTo(Standing.A_STEP_APART);
        assertThat(standing(by(NEW, Set.of()), FROM_OLD_TO_NEW)).isEqualTo(Standing.A_STEP_APART);
        assertThat(standing(by(NEW, Set.of()), BY_OLD)).isEqualTo(Standing.DIFFERENT);
    }

    private static PeerListTransition by(Set<String> list, Set<String> leaving) {
        PeerListTransition steps = new PeerListTransition();
        steps.use(list, leaving, Set.of(SENDER));
        return steps;
    }

    private static Standing standing(PeerListTransition own, byte[] message) {
        own.heard(0, SENDER, message);
        return own.of(SENDER, 0);
    }
}
