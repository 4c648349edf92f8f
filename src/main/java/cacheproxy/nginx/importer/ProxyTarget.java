package cacheproxy.nginx.importer;

import java.util.ArrayList;
import java.util.List;

/**
 * The URL of a {@code proxy_pass}.
 *
 * @param encrypted whether its scheme is https
 * @param authority the upstream, or host and port
 * @param uri path and query, which may have variables; empty if there are none
 * @param hasLiteralAuthority whether no variable belongs to the authority
 */
record ProxyTarget(boolean encrypted, String authority, Expression uri, boolean hasLiteralAuthority) {
    private static final String HTTP = "http://";
    private static final String HTTPS = "https://";

    /** Parses a URL; null if its scheme is not known. */
    static ProxyTarget parse(Expression target) {
        String head = target.literalPrefix();
        boolean encrypted = head.startsWith(HTTPS);
        if (!encrypted && !head.startsWith(HTTP)) {
            return null;
        }
        String afterScheme = head.substring(encrypted ? HTTPS.length() : HTTP.length());
        int slash = afterScheme.indexOf('/');
        List<Expression.Part> uri = new ArrayList<>();
        if (slash >= 0) {
            uri.add(new Expression.Part(false, afterScheme.substring(slash)));
        }
        uri.addAll(target.parts().subList(1, target.parts().size()));
        boolean beginsWithPath =
                slash >= 0 || uri.isEmpty() || PathVariables.isPath(uri.get(0).text());
        String authority = slash < 0 ? afterScheme : afterScheme.substring(0, slash);
        return new ProxyTarget(encrypted, authority, new Expression(uri), beginsWithPath);
    }
}
