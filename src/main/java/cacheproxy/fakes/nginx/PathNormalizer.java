package cacheproxy.fakes.nginx;

/** Normalizes paths: decodes them, merges slashes, and resolves {@code .} and {@code ..}. */
final class PathNormalizer {
    private static final int HEX_RADIX = 16;

    private PathNormalizer() {}

    /** Returns the normalized path; null if nginx answers 400. */
    static String normalize(String raw) {
        String path = decode(raw);
        if (path == null || !path.startsWith("/")) {
            return path;
        }
        while (path.contains("//")) {
            path = path.replace("//", "/");
        }
        return resolveDots(path);
    }

    private static String decode(String raw) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < raw.length(); i++) {
            char character = raw.charAt(i);
            if (character == '%') {
                if (i + 2 >= raw.length() || !raw.substring(i + 1, i + 3).matches("[0-9a-fA-F]{2}")) {
                    return null;
                }
                character = (char) Integer.parseInt(raw.substring(i + 1, i + 3), HEX_RADIX);
                i += 2;
                if (character == 0) {
                    return null;
                }
            }
            out.append(character);
        }
        return out.toString();
    }

    private static String resolveDots(String path) {
        String resolved = path;
        while (true) {
            if (resolved.contains("/./")) {
                resolved = resolved.replaceFirst("/\\./", "/");
            } else if (resolved.endsWith("/.")) {
                resolved = resolved.substring(0, resolved.length() - 1);
            } else {
                int parentAt = resolved.indexOf("/../");
                if (parentAt < 0 && resolved.endsWith("/..")) {
                    parentAt = resolved.length() - "/..".length();
                }
                if (parentAt < 0) {
                    return resolved;
                }
                if (parentAt == 0) {
                    return null;
                }
                int segmentAt = resolved.lastIndexOf('/', parentAt - 1) + 1;
                int restAt = Math.min(resolved.length(), parentAt + "/../".length());
                resolved = resolved.substring(0, segmentAt) + resolved.substring(restAt);
            }
        }
    }
}
