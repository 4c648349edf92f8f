package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;

/** A request while it is interpreted. */
final class SimulatedRequest {
    private final String host;
    private final String method;
    private final String requestUri;
    /** The query; null if there is none. */
    private final String args;

    private final Map<String, String> variables = new HashMap<>();
    private String path;
    private boolean pathChangedInLocation;
    private boolean pathEverChanged;
    private boolean rewriteEnded;
    /** The last match with groups; null: none. */
    private Matcher groups;
    /** What an {@code if} has put in place of the location's own {@code proxy_pass}; null: nothing. */
    private Directive handler;
    /** Null until the request is answered. */
    private Response response;

    private SimulatedRequest(String method, String host, String requestUri, String path, String args) {
        this.method = method;
        this.host = host;
        this.requestUri = requestUri;
        this.path = path;
        this.args = args;
    }

    /** Reads a request; null if its path is malformed. */
    static SimulatedRequest of(String method, String host, String uriWithFragment) {
        int hash = uriWithFragment.indexOf('#');
        String uri = hash < 0 ? uriWithFragment : uriWithFragment.substring(0, hash);
        int question = uri.indexOf('?');
        String args = question < 0 ? null : uri.substring(question + 1);
        String path = PathNormalizer.normalize(question < 0 ? uri : uri.substring(0, question));
        return path == null ? null : new SimulatedRequest(method, host.toLowerCase(Locale.ROOT), uri, path, args);
    }

    /** The host, in lower case. */
    String host() {
        return host;
    }

    /** The method, such as {@code GET}. */
    String method() {
        return method;
    }

    /** Path and query as they came in. */
    String requestUri() {
        return requestUri;
    }

    /** The query; empty if there is none. */
    String args() {
        return args == null ? "" : args;
    }

    /** The query with its question mark; empty if there is none. */
    String query() {
        return args == null ? "" : "?" + args;
    }

    /** The current path, normalized. */
    String path() {
        return path;
    }

    /** Whether the path has been changed since it came in. */
    boolean isPathEverChanged() {
        return pathEverChanged;
    }

    /** Whether the path has been changed since its location was found. */
    boolean isPathChangedInLocation() {
        return pathChangedInLocation;
    }

    /** Sets a path by a {@code rewrite}. */
    void rewritePath(String newPath) {
        redirectTo(newPath);
        pathChangedInLocation = true;
    }

    /** Sets a path for which a location is to be searched. */
    void redirectTo(String newPath) {
        path = newPath;
        pathEverChanged = true;
    }

    /** Begins the rewrite directives of a location. */
    void enterLocation() {
        pathChangedInLocation = false;
    }

    /** Whether a {@code break} has ended the rewrite directives. */
    boolean isRewriteEnded() {
        return rewriteEnded;
    }

    /** Ends the rewrite directives, or lets those of the next location run. */
    void setRewriteEnded(boolean ended) {
        rewriteEnded = ended;
    }

    /** Values given by {@code set}; may be changed. */
    Map<String, String> variables() {
        return variables;
    }

    /** The match whose groups {@code $1} and so on mean; null: none. */
    Matcher groups() {
        return groups;
    }

    /** Sets the match whose groups variables mean. */
    void setGroups(Matcher match) {
        groups = match;
    }

    /** The {@code proxy_pass} of an {@code if}, which replaces that of the location; null: none. */
    Directive handler() {
        return handler;
    }

    /** Sets the {@code proxy_pass} that replaces that of the location; null: none. */
    void setHandler(Directive pass) {
        handler = pass;
    }

    /** The response; null until there is one. */
    Response response() {
        return response;
    }

    /** Whether there is a response. */
    boolean isAnswered() {
        return response != null;
    }

    /** Ends the request with a response of nginx itself. */
    void answer(int status) {
        response = Response.ofStatus(status);
    }

    /** Ends the request with a response. */
    void answer(Response ending) {
        response = ending;
    }
}
