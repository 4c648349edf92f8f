package cacheproxy.proxy.client;

import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;

/**
 * Submits the complete requests of one connection to the owner's handler, once all bytes that are read now have been
 * decoded. The client's close may follow a request in the input, and the request of a client that has disconnected in
 * the meantime, perhaps long ago if the event loop is busy, must not be sent to a server. Used on the event loop only.
 */
final class RequestSubmitter {
    private final ClientConnection connection;
    private final ConnectionOwner owner;
    /** The responses whose requests are complete and not submitted yet. */
    private final ArrayDeque<PendingResponse> unsubmitted = new ArrayDeque<>(2);

    private final Runnable submitRequests = this::submitRequests;
    private boolean scheduled;

    RequestSubmitter(ClientConnection connection, ConnectionOwner owner) {
        this.connection = connection;
        this.owner = owner;
    }

    /** Submits the request of this response later in this turn of the event loop, or in the next. */
    void submitLater(PendingResponse response) {
        unsubmitted.add(response);
        if (!scheduled) {
            scheduled = true;
            connection.context().executor().execute(submitRequests);
        }
    }

    private void submitRequests() {
        scheduled = false;
        ChannelHandlerContext context = connection.context();
        // If the channel is no longer active, channelInactive is called later and releases the requests that are left
        // here.
        PendingResponse response;
        while (context.channel().isActive() && (response = unsubmitted.poll()) != null) {
            try {
                response.submit(owner.handler());
            } catch (RuntimeException e) {
                connection.exceptionCaught(context, e);
            }
        }
    }

    /** Discards the requests that are not submitted; the connection releases them with its other responses. */
    void clear() {
        unsubmitted.clear();
    }
}
