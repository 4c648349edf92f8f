package cacheproxy.cli;

import cacheproxy.nginx.ConfSource;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.PatternSyntaxException;

/** The files of an nginx configuration on disk. Relative names are resolved against a prefix. */
final class NginxConfDirectory implements ConfSource {
    private static final long MAX_FILE_BYTES = 64L << 20;

    private final Path prefix;

    NginxConfDirectory(Path prefix) {
        this.prefix = prefix;
    }

    @Override
    public String read(String path) throws UnreadableFileException {
        Path file = resolve(path);
        if (Files.isDirectory(file)) {
            throw new UnreadableFileException("it is a directory");
        }
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new UnreadableFileException("it has more than " + MAX_FILE_BYTES + " bytes");
            }
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
        } catch (NoSuchFileException e) {
            throw new UnreadableFileException("there is no such file");
        } catch (AccessDeniedException e) {
            throw new UnreadableFileException("permission denied");
        } catch (IOException e) {
            throw new UnreadableFileException(String.valueOf(e.getMessage()));
        }
    }

    private Path resolve(String path) throws UnreadableFileException {
        try {
            return prefix.resolve(path);
        } catch (InvalidPathException e) {
            throw new UnreadableFileException("this is not a valid file name");
        }
    }

    @Override
    public List<String> glob(String pattern) throws UnreadableFileException {
        boolean absolute = pattern.startsWith("/");
        List<Path> matches = List.of(absolute ? Path.of("/") : prefix);
        for (String segment : pattern.split("/", 0)) {
            if (!segment.isEmpty()) {
                matches = matchSegment(matches, segment);
            }
        }
        return matches.stream()
                .filter(Files::isRegularFile)
                .map(file ->
                        absolute ? file.toString() : prefix.relativize(file).toString())
                .toList();
    }

    /** Returns the entries of the directories whose names match one segment of a pattern. */
    private static List<Path> matchSegment(List<Path> directories, String segment) throws UnreadableFileException {
        List<Path> matches = new ArrayList<>();
        for (Path directory : directories) {
            if (!hasWildcard(segment)) {
                Path entry = directory.resolve(segment);
                if (Files.exists(entry)) {
                    matches.add(entry);
                }
            } else if (Files.isDirectory(directory)) {
                matches.addAll(listMatching(directory, segment));
            }
        }
        return matches;
    }

    private static boolean hasWildcard(String segment) {
        return segment.indexOf('*') >= 0 || segment.indexOf('?') >= 0 || segment.indexOf('[') >= 0;
    }

    /**
     * Lists a directory's entries that match, sorted; as in glob(3), hidden entries match only if the pattern begins
     * with a dot.
     */
    private static List<Path> listMatching(Path directory, String segment) throws UnreadableFileException {
        List<Path> matches = new ArrayList<>();
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(directory, segment.replace("{", "\\{"))) {
            for (Path entry : entries) {
                if (segment.startsWith(".") || !entry.getFileName().toString().startsWith(".")) {
                    matches.add(entry);
                }
            }
        } catch (PatternSyntaxException e) {
            throw new UnreadableFileException("the pattern is invalid: " + e.getDescription());
        } catch (IOException e) {
            throw new UnreadableFileException(directory + " can't be listed");
        }
        matches.sort(null);
        return matches;
    }
}
