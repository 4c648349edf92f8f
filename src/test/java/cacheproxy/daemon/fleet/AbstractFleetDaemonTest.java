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

/** Helpers for tests of daemons in a fleet: configurations, requests to the control address, packets. */
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

    /** Returns a configuration with one pool, the control address and the given sections. */
    String file(String sections) {
        return DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.pool("pages", fleet, "", fleet.nodes.get(0)) + DaemonHarness.route("all", "", "pages")
                + "[control]\nlisten = \"127.0.0.1:0\"\n" + sections;
    }

    /** Returns the section of the fleet, with peers given as NAME@PORT. */
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

    /** Returns the section of a lease. */
    static String duty(String name) {
        return "[[duty]]\nname = \"" + name + "\"\nlease_ms = 150\nvoters = 3\n";
    }

    /** Starts a daemon with the given sections. */
    Daemon daemon(String sections) throws Exception {
        return Daemon.start(DaemonConfigReader.parse(folder.resolve("f.toml").toString(), file(sections)), 5);
    }

    /**
     * Sends a request to the control address, and returns the status and the body of the response.
     *
     * @throws InterruptedIOException if the test has timed out, so that no loop of requests outlasts it
     */
    static String call(Daemon daemon, String call) throws IOException {
        if (Thread.interrupted()) {
            throw new InterruptedIOException("the test timed out before " + call);
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

    /** Repeats a request to the control address until the response begins with a prefix. */
    static String await(Daemon daemon, String call, String prefix) throws IOException {
        while (true) {
            String answer = call(daemon, call);
            if (answer.startsWith(prefix)) {
                return answer;
            }
            Thread.onSpinWait();
        }
    }

    /** Returns the address that all sockets of these tests use. */
    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    /** Returns a packet that has room for the longest datagram. */
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
