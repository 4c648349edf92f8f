package damsonworks.routes;

/** A share of all requests, always the same ones. */
public sealed interface Share permits KeyShare, SplitShare {
    boolean has(Subject s);

    /** Whether it has all that the other has; true only where that is certain. */
    boolean covers(Share other);

    /** In words, why it does not have a request. */
    String without(Subject s);
}
