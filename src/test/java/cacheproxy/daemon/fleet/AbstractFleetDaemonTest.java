package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.daemon.DaemonHarness;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fleet.peer.DatagramEnvelope;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.DatagramPacket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** What tests of daemons in a fleet share: configurations, calls of the control address, packets. */
abstract class AbstractFleetDaemonTest {
    @TempDir
    Path folder;

    FakeFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FakeFleet(1);
    }

    @AfterEach
    void end() {
        fleet.close();
    }

    /** A configuration with one pool and the control address, and these sections. */
    String file(String sections) {
        return DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.pool("pages", fleet, "", fleet.nodes.get(0)) + DaemonHarness.route("all", "", "pages")
                + "[control]\nlisten = \"127.0.0.1:0\"\n" + sections;
    }

    /** The section of the fleet; peers as NAME@PORT. */
    static String fleetOf(String ownName, int port, String keys, String... peers) {
        StringBuilder text = new StringBuilder("[fleet]\nme = \"" + ownName + "\"\nlisten = \"127.0.0.1:" + port
                + "\"\nlongest_lease_ms = 150\n" + keys);
        for (String peer : peers) {
            int separator = peer.indexOf('@');
            text.append("[[fleet.peer]]\nname = \"")
                    .append(peer.substring(0, separator))
                    .append("\"\naddress = \"127.0.0.1:")
                    .append(peer.substring(separator + 1))
                    .append("\"\n");
        }
        return text.toString();
    }

    /** The section of a lease. */
    static String duty(String name) {
        return "[[duty]]\nname = \"" + name + "\"\nlease_ms = 150\nvoters = 3\n";
    }

    /** A daemon with these sections. */
    Daemon daemon(String sections) throws Exception {
        return Daemon.start(DaemonConfigReader.parse(folder.resolve("f.toml").toString(), file(sections)), 5);
    }

    /**
     * Calls the control address; the status and the body of the response.
     *
     * @throws InterruptedIOException if the test's time is up, so that no loop of calls outlasts it
     */
    static String call(Daemon daemon, String call) throws IOException {
        if (Thread.interrupted()) {
            throw new InterruptedIOException("the test's time is up before " + call);
        }
        InetSocketAddress controlAddress = daemon.controlAddress();
        try (Socket socket = new Socket(controlAddress.getAddress(), controlAddress.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream()
                    .write((call + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return text.substring(9, 12) + " "
                    + text.substring(text.indexOf("\r\n\r\n") + 4).strip();
        }
    }

    /** Calls the control address until the response begins like this. */
    static String await(Daemon daemon, String call, String prefix) throws IOException {
        while (true) {
            String answer = call(daemon, call);
            if (answer.startsWith(prefix)) {
                return answer;
            }
            Thread.onSpinWait();
        }
    }

    /** The address of this machine that all sockets of these tests use. */
    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    /** A datagram packet of the longest datagram. */
    static DatagramPacket emptyPacket() {
        return new DatagramPacket(new byte[DatagramEnvelope.MAX_DATAGRAM_BYTES], DatagramEnvelope.MAX_DATAGRAM_BYTES);
    }

    /** Sends clients' requests and waits for their responses. */
    void sendRequests(Daemon daemon, int requests) throws Exception {
        new LoadClient(fleet.loop(), daemon.address("main"), requests, i -> DaemonHarness.read("k/" + i))
                .start(4, 1)
                .get(100, TimeUnit.SECONDS);
    }
}
