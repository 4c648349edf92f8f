package damsonworks.routes;

/** What routes look at: a request as its listener had it. Class and tenant are indexes in the file's order. */
public record Subject(String listener, String key, int serviceClass, int tenant, boolean write) { }
