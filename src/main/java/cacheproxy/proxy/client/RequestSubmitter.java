package cacheproxy.proxy.client;

import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;

/**
 * Submits the complete requests of one connection to the owner's handler, once all that is read now has been decoded.
 * The client's end may be behind a request, and the request of a client that has left meanwhile, perhaps long ago on a
 * busy loop, must not be sent to a server. Used on the event loop only.
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
        // When the channel is no longer active, channelInactive is still to come and releases what is left here.
        PendingResponse response;
        while (context.channel().isActive() && (response = unsubmitted.poll()) != null) {
            try {
                response.submit(owner.handler());
            } catch (RuntimeException e) {
                connection.exceptionCaught(context, e);
            }
        }
    }

    /** Forgets the requests that are not submitted; the connection releases them with its other responses. */
    void clear() {
        unsubmitted.clear();
    }
}
