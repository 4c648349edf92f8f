package cacheproxy.cli;

import cacheproxy.nginx.ConfSource;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A configuration's files on disk, below the prefix that relative names count from. */
final class ConfDirectory implements ConfSource {
    private static final long MAX_FILE = 64L << 20;

    private final Path prefix;

    ConfDirectory(Path prefix) {
        this.prefix = prefix;
    }

    @Override
    public String read(String path) throws UnreadableFileException {
        Path file;
        try {
            file = prefix.resolve(path);
        } catch (InvalidPathException e) {
            throw new UnreadableFileException("this is no name of a file");
        }
        if (Files.isDirectory(file)) {
            throw new UnreadableFileException("it is a directory");
        }
        try {
            if (Files.size(file) > MAX_FILE) {
                throw new UnreadableFileException("it has more than " + MAX_FILE + " bytes");
            }
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
        } catch (NoSuchFileException e) {
            throw new UnreadableFileException("there is no such file");
        } catch (java.nio.file.AccessDeniedException e) {
            throw new UnreadableFileException("it may not be read");
        } catch (IOException e) {
            throw new UnreadableFileException(String.valueOf(e.getMessage()));
        }
    }

    @Override
    public List<String> glob(String pattern) throws UnreadableFileException {
        List<Path> found = List.of(pattern.startsWith("/") ? Path.of("/") : prefix);
        for (String part : pattern.split("/", 0)) {
            if (part.isEmpty()) {
                continue;
            }
            List<Path> next = new ArrayList<>();
            for (Path dir : found) {
                boolean mask = part.indexOf('*') >= 0 || part.indexOf('?') >= 0 || part.indexOf('[') >= 0;
                if (!mask) {
                    Path p = dir.resolve(part);
                    if (Files.exists(p)) {
                        next.add(p);
                    }
                } else if (Files.isDirectory(dir)) {
                    List<Path> own = new ArrayList<>();
                    try (DirectoryStream<Path> stream = Files.newDirectoryStream(dir, part.replace("{", "\\{"))) {
                        // glob(3) passes over names with a dot in front unless the pattern has it, too.
                        stream.forEach(p -> {
                            if (part.startsWith(".")
                                    || !p.getFileName().toString().startsWith(".")) {
                                own.add(p);
                            }
                        });
                    } catch (java.util.regex.PatternSyntaxException e) {
                        throw new UnreadableFileException("the pattern is broken: " + e.getDescription());
                    } catch (IOException e) {
                        throw new UnreadableFileException(dir + " can't be listed");
                    }
                    own.sort(null);
                    next.addAll(own);
                }
            }
            found = next;
        }
        return found.stream()
                .filter(Files::isRegularFile)
                .map(p -> pattern.startsWith("/")
                        ? p.toString()
                        : prefix.relativize(p).toString())
                .toList();
    }
}
