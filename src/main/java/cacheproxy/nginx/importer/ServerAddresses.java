package cacheproxy.nginx.importer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Resolves addresses of servers, and assigns one name to each address. */
final class ServerAddresses {
    private static final String DEFAULT_PORT = ":80";
    private static final String LOCALHOST = "localhost";
    private static final int MAX_PORT = 65535;
    private static final int MAX_OCTET = 255;

    private final Map<String, String> dialOverrides;
    private final Map<String, String> nameByAddress = new HashMap<>();

    /**
     * Creates the table.
     *
     * @param dialOverrides addresses by servers as written in nginx's configuration; they take precedence over the
     *     written address
     */
    ServerAddresses(Map<String, String> dialOverrides) {
        this.dialOverrides = dialOverrides;
    }

    /** Whether the operator has configured an address for a server. */
    boolean hasDialOverride(String nginxAddress) {
        return dialOverrides.containsKey(nginxAddress);
    }

    /** Returns the address and port of a server as written; null if it is a host name or not a valid address. */
    String dialAddress(String nginxAddress) {
        String address = dialOverrides.get(nginxAddress);
        if (address != null) {
            return address;
        }
        if (nginxAddress.matches("localhost(:[0-9]{1,5})?")) {
            return dialAddress("127.0.0.1" + nginxAddress.substring(LOCALHOST.length())); // RFC 6761, section 6.3
        }
        boolean isIpv6 = nginxAddress.matches("\\[[0-9a-fA-F:.]+](:[0-9]{1,5})?");
        boolean isIpv4 = nginxAddress.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}(:[0-9]{1,5})?");
        if (!isIpv4 && !isIpv6) {
            return null;
        }
        String withPort = nginxAddress.matches(".*(]|\\.[0-9]+):[0-9]+") ? nginxAddress : nginxAddress + DEFAULT_PORT;
        int colon = withPort.lastIndexOf(':');
        int port = Integer.parseInt(withPort.substring(colon + 1));
        boolean validHost = isIpv6 || hasValidOctets(withPort.substring(0, colon));
        return port > 0 && port <= MAX_PORT && validHost ? withPort : null;
    }

    private static boolean hasValidOctets(String address) {
        return Arrays.stream(address.split("\\.")).allMatch(octet -> Integer.parseInt(octet) <= MAX_OCTET);
    }

    /** Returns the name of a server: the first written form of its address; if it has no address, the given form. */
    String name(String nginxAddress, String dial) {
        return dial == null ? nginxAddress : nameByAddress.computeIfAbsent(dial, absent -> nginxAddress);
    }
}
