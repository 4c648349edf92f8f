package cacheproxy.proxy;

import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;

/** Responses that scripted cache servers send in tests. */
final class CacheResponses {
    private CacheResponses() {}

    /** The first line of a hit with a value of this length. */
    static String head(String id, int length) {
        return "VA " + length + " O" + id + " h1\r\n";
    }

    /** Sends a hit with this value for a command. */
    static void sendValue(ScriptedServer.Connection connection, String command, byte[] value) throws IOException {
        connection.send(head(ScriptedServer.requestId(command), value.length));
        connection.out.write(value);
        connection.send("\r\n");
    }

    /** A hit with a value of five bytes. */
    static String hit(String command) {
        return "VA 5 O" + ScriptedServer.requestId(command) + " h1\r\nhello\r\n";
    }
}
