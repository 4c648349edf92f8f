package cacheproxy.proxy;

import cacheproxy.fakes.ScriptedServer;

/** Responses that scripted cache servers send in tests. */
final class CacheResponses {
    private CacheResponses() {}

    /** A hit with a value of five bytes. */
    static String hit(String command) {
        return "VA 5 O" + ScriptedServer.requestId(command) + " h1\r\nhello\r\n";
    }
}
