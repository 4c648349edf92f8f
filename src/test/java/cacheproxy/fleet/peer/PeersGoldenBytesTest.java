package cacheproxy.fleet.peer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * The bytes of the datagram envelope and of the report on peer lists. The checksums and MACs were computed by another
 * implementation.
 */
class PeersGoldenBytesTest {
    private static final byte[] KEY = "golden key of the fleet".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_KEY = "another key".getBytes(StandardCharsets.UTF_8);
    private static final long SENDER = 0x0102030405060708L;
    private static final long RECEIVER = 2;
    private static final long INCARNATION = 0x000001941f297c00L;
    private static final List<Long> PEERS = List.of(SENDER, RECEIVER);
    private static final byte[] PAYLOAD = HexBytes.parse("00ff7f80");

    /** Magic, format version and topic; sender; incarnation; sequence number; payload; CRC-32C. */
    private static final byte[] CHECKSUMMED =
            HexBytes.parse("63 01 01 0102030405060708 000001941f297c00 0000000000000001 00ff7f80 5b6fac4d");

    private static final byte[] CHECKSUMMED_EMPTY =
            HexBytes.parse("63 01 06 0102030405060708 000001941f297c00 0000000000000002 ef4c8b42");
    /** The same datagram with the first 16 bytes of the HMAC-SHA256 instead of the CRC-32C. */
    private static final byte[] SIGNED =
            HexBytes.parse("63 01 01 0102030405060708 000001941f297c00 0000000000000001 00ff7f80"
                    + "4a13a060b4edec774d62f518ba3b30e9");

    private static final byte[] SIGNED_EMPTY = HexBytes.parse(
            "63 01 06 0102030405060708 000001941f297c00 0000000000000002" + "7a545d06978b9288e123d317a16f675b");

    @Test
    void checksummedEnvelopeHasGoldenBytes() {
        DatagramEnvelope sender = new DatagramEnvelope(SENDER, INCARNATION, List.of(), PEERS);
        assertThat(sender.seal(RECEIVER, (byte) 1, PAYLOAD)).isEqualTo(CHECKSUMMED);
        assertThat(sender.seal(RECEIVER, (byte) 6, new byte[0])).isEqualTo(CHECKSUMMED_EMPTY);
        DatagramEnvelope receiver = new DatagramEnvelope(RECEIVER, 1, List.of(), PEERS);
        assertOpens(receiver, CHECKSUMMED, (byte) 1, PAYLOAD);
        assertOpens(receiver, CHECKSUMMED_EMPTY, (byte) 6, new byte[0]);
    }

    @Test
    void signedEnvelopeHasGoldenBytes() {
        DatagramEnvelope sender = new DatagramEnvelope(SENDER, INCARNATION, List.of(KEY, OTHER_KEY), PEERS);
        assertThat(sender.seal(RECEIVER, (byte) 1, PAYLOAD)).isEqualTo(SIGNED);
        assertThat(sender.seal(RECEIVER, (byte) 6, new byte[0])).isEqualTo(SIGNED_EMPTY);
        DatagramEnvelope receiver = new DatagramEnvelope(RECEIVER, 1, List.of(OTHER_KEY, KEY), PEERS);
        assertOpens(receiver, SIGNED, (byte) 1, PAYLOAD);
        assertOpens(receiver, SIGNED_EMPTY, (byte) 6, new byte[0]);
    }

    @Test
    void countsSequenceNumbersPerReceiver() {
        DatagramEnvelope sender = new DatagramEnvelope(SENDER, INCARNATION, List.of(), PEERS);
        sender.seal(3, (byte) 1, PAYLOAD);
        assertThat(sender.seal(RECEIVER, (byte) 1, PAYLOAD)).isEqualTo(CHECKSUMMED);
    }

    private static void assertOpens(DatagramEnvelope receiver, byte[] datagram, byte topic, byte[] payload) {
        assertThat(DatagramEnvelope.claimedSender(datagram)).isEqualTo(SENDER);
        OpenedDatagram opened = receiver.open(datagram, 0);
        assertThat(opened.sender()).isEqualTo(SENDER);
        assertThat(opened.topic()).isEqualTo(topic);
        assertThat(opened.payload()).isEqualTo(payload);
    }

    private static final Set<String> OLD_LIST = Set.of("p3", "p1", "p2");
    private static final Set<String> NEW_LIST = Set.of("p\u00e9", "p5", "p4", "p3");
    /**
     * The number of names and the CRC-32C of the sorted names, each followed by a line feed; then the same for the list
     * that is being replaced.
     */
    private static final byte[] OLD_LIST_MESSAGE = HexBytes.parse("00000003 04e5f200 0000000000000000");

    private static final byte[] CHANGING_LIST_MESSAGE = HexBytes.parse("00000004 511259b7 00000003 04e5f200");

    @Test
    void peerListMessageHasGoldenBytes() {
        assertThat(transition(OLD_LIST, Set.of()).encodeReport()).isEqualTo(OLD_LIST_MESSAGE);
        assertThat(transition(NEW_LIST, OLD_LIST).encodeReport()).isEqualTo(CHANGING_LIST_MESSAGE);
        assertThat(relationTo(transition(OLD_LIST, Set.of()), OLD_LIST_MESSAGE)).isEqualTo(PeerListRelation.SAME);
        assertThat(relationTo(transition(NEW_LIST, OLD_LIST), CHANGING_LIST_MESSAGE))
                .isEqualTo(PeerListRelation.SAME);
        assertThat(relationTo(transition(NEW_LIST, OLD_LIST), OLD_LIST_MESSAGE))
                .isEqualTo(PeerListRelation.ONE_STEP_APART);
        assertThat(relationTo(transition(NEW_LIST, Set.of()), CHANGING_LIST_MESSAGE))
                .isEqualTo(PeerListRelation.ONE_STEP_APART);
        assertThat(relationTo(transition(NEW_LIST, Set.of()), OLD_LIST_MESSAGE)).isEqualTo(PeerListRelation.DIFFERENT);
    }

    private static PeerListTransition transition(Set<String> list, Set<String> previousList) {
        PeerListTransition transition = new PeerListTransition();
        transition.update(list, previousList, Set.of(SENDER));
        return transition;
    }

    private static PeerListRelation relationTo(PeerListTransition own, byte[] message) {
        own.receive(0, SENDER, message);
        return own.relationOf(SENDER, 0);
    }
}
