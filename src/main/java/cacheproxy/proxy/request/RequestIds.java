package cacheproxy.proxy.request;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The client-assigned ids that a new request may not have: those of open requests, and those of requests that may have
 * taken effect although their client has left without a response. Of the latter it knows the last {@link #MAX_RETIRED}.
 */
public final class RequestIds {
    /** The number of ids of requests without a response that are remembered. */
    static final int MAX_RETIRED = 4096;

    private final Set<String> open = new HashSet<>();
    /** In the order in which their clients have left. */
    private final Set<String> retired = new LinkedHashSet<>();

    /** Records that a request is open; returns false, and records nothing, if its id is known. */
    public boolean open(String id) {
        return !retired.contains(id) && open.add(id);
    }

    /** Records that the request has its response, so that the id can be used again. */
    public void close(String id) {
        open.remove(id);
    }

    /** Records that the request may take effect, and that its client has left without a response. */
    public void retire(String id) {
        open.remove(id);
        retired.add(id);
        if (retired.size() > MAX_RETIRED) {
            Iterator<String> oldest = retired.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
