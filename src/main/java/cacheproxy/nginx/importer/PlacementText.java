package cacheproxy.nginx.importer;

import cacheproxy.routes.PlacementTemplate;

/** Texts of routes' placement templates for what nginx hashes. */
final class PlacementText {
    private static final String ARGUMENT_PREFIX = "arg_";

    private PlacementText() {}

    /** The template of an expression; null if it is too long or keys don't tell one of its variables. */
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
