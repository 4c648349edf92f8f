package cacheproxy.proxy.request;

/** What an event loop keeps of its open requests: their ids, and the memory that is reserved for their values. */
public interface RequestAccounting {
    /** The time in milliseconds, on the clock of all times of a request. */
    double nowMs();

    /** Records that a request is open; returns false if another with the same id is. */
    boolean openId(String id);

    /** Gives back memory that was reserved for a value. */
    void releaseReservedBytes(int bytes);
}
