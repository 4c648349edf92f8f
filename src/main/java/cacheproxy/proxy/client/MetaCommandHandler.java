package cacheproxy.proxy.client;

import cacheproxy.proxy.request.ClientRequest;

/** Receives the result of a {@link MetaProtocol} that has parsed a command line. */
interface MetaCommandHandler {
    /**
     * Handles a complete read.
     *
     * @param echo the flags that its response repeats, with a space before each
     */
    void onRead(ClientRequest request, String echo);

    /**
     * Handles a write in the platform's grammar; its value follows.
     *
     * @param request null if the command can't be carried out; the value follows nevertheless
     * @param valueBytes the length of the value without its line end
     */
    void onWrite(ClientRequest request, int valueBytes);

    /**
     * Handles a write in the standard grammar; its value follows.
     *
     * @param request null if the command can't be carried out; the value follows nevertheless
     * @param valueBytes the length of the value without its line end
     * @param echo the flags that the response repeats, with a space before each
     * @param errorLine the response, without its line end, if {@code request} is null
     */
    void onStandardWrite(ClientRequest request, int valueBytes, String echo, String errorLine);

    /**
     * Handles a command without a value that can't be carried out; {@code errorLine} is the response without its line
     * end.
     */
    void onInvalid(String errorLine);
}
