package cacheproxy.bench;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Finds loopback addresses whose ports are free at the moment. */
final class LoopbackPorts {
    private LoopbackPorts() {}

    /** An address that a TCP listener can bind. */
    static InetSocketAddress freeTcp() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** An address that a UDP socket can bind. */
    static InetSocketAddress freeUdp() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }
}
