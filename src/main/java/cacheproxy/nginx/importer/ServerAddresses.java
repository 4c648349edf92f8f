package cacheproxy.nginx.importer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Addresses of servers, and the one name that each address has. */
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
     * @param dialOverrides addresses by servers as written, which are preferred to what is written
     */
    ServerAddresses(Map<String, String> dialOverrides) {
        this.dialOverrides = dialOverrides;
    }

    /** Whether the operator has given an address for a server. */
    boolean hasDialOverride(String nginxAddress) {
        return dialOverrides.containsKey(nginxAddress);
    }

    /** The address and port of a server as written; null if it is a name, or no valid address. */
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

    /** The name of a server: its address as it was written first, or as it is written here if it has none. */
    String name(String nginxAddress, String dial) {
        return dial == null ? nginxAddress : nameByAddress.computeIfAbsent(dial, absent -> nginxAddress);
    }
}
