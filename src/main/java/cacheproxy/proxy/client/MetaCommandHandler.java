package cacheproxy.proxy.client;

import cacheproxy.proxy.request.ClientRequest;

/** Receives what a {@link MetaProtocol} has parsed of a command line. */
interface MetaCommandHandler {
    /**
     * A read is complete.
     *
     * @param echo the flags that its response repeats, with a space before each
     */
    void onRead(ClientRequest request, String echo);

    /**
     * A write in the platform's grammar; its value follows.
     *
     * @param request null if the command can't be carried out; the value follows all the same
     * @param valueBytes the length of the value without its line end
     */
    void onWrite(ClientRequest request, int valueBytes);

    /**
     * A write in the standard grammar; its value follows.
     *
     * @param request null if the command can't be carried out; the value follows all the same
     * @param valueBytes the length of the value without its line end
     * @param echo the flags that the response repeats, with a space before each
     * @param errorLine the response, without its line end, if {@code request} is null
     */
    void onStandardWrite(ClientRequest request, int valueBytes, String echo, String errorLine);

    /** A command that can't be carried out, without a value; {@code errorLine} is the response without its line end. */
    void onInvalid(String errorLine);
}
