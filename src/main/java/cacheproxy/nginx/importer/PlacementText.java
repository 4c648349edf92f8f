package cacheproxy.nginx.importer;

import cacheproxy.routes.PlacementTemplate;

/** Converts what nginx hashes to the placement templates of routes. */
final class PlacementText {
    private static final String ARGUMENT_PREFIX = "arg_";

    private PlacementText() {}

    /**
     * Returns the template of an expression; null if it is too long or has a variable that can't be known from keys.
     */
    static String of(Expression expression) {
        StringBuilder out = new StringBuilder();
        for (Expression.Part part : expression.parts()) {
            if (!part.variable()) {
                out.append(part.text().replace("$", "$$"));
                continue;
            }
            String name = templateVariable(part.text());
            if (name == null) {
                return null;
            }
            out.append("${").append(name).append('}');
        }
        try {
            return new PlacementTemplate(out.toString()).text();
        } catch (IllegalArgumentException tooLong) {
            return null;
        }
    }

    private static String templateVariable(String name) {
        return switch (name) {
            case "uri", "document_uri" -> "uri";
            case "host", "http_host" -> "host";
            case "request_uri", "args", "query_string", "is_args" -> name;
            default -> name.startsWith(ARGUMENT_PREFIX) && name.length() > ARGUMENT_PREFIX.length() ? name : null;
        };
    }
}
