package cacheproxy.proxy.request;

/** An event loop's record of its open requests: their ids, and the memory that is reserved for their values. */
public interface RequestAccounting {
    /** The current time in milliseconds, on the clock that is used for all times of a request. */
    double nowMs();

    /** Records that a request is open; returns false if another request with the same id is open. */
    boolean openId(String id);

    /** Releases memory that was reserved for a value. */
    void releaseReservedBytes(int bytes);
}
