package cacheproxy.nginx.importer;

import java.util.ArrayList;
import java.util.List;

/**
 * The URL of a {@code proxy_pass}.
 *
 * @param encrypted whether the scheme is https
 * @param authority the upstream's name, or host and port
 * @param uri path and query, which can contain variables; empty if the URL has neither
 * @param hasLiteralAuthority whether the authority contains no variables
 */
record ProxyTarget(boolean encrypted, String authority, Expression uri, boolean hasLiteralAuthority) {
    private static final String HTTP = "http://";
    private static final String HTTPS = "https://";

    /** Parses a URL; returns null if its scheme is not known. */
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
