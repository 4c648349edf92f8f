package cacheproxy.snapshot;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads the bytes of a snapshot file. Damage in one section leaves the others usable. */
final class SnapshotDecoder {
    /** Maximum number of sections that are read, regardless of the header. */
    private static final int MAX_SECTIONS = 8_192;

    private final byte[] file;
    private final ByteBuffer input;
    private final SnapshotAssembler assembler = new SnapshotAssembler();
    private final List<String> faults = new ArrayList<>();
    private final List<String> skipped = new ArrayList<>();

    private SnapshotDecoder(byte[] file) {
        this.file = file;
        input = ByteBuffer.wrap(file);
    }

    /** Reads a file of any content. */
    static DecodedSnapshot decode(byte[] file) {
        Optional<String> headerFault = SnapshotHeader.fault(file);
        if (headerFault.isPresent()) {
            return new DecodedSnapshot(null, List.of(headerFault.get()), List.of());
        }
        return new SnapshotDecoder(file).decode(SnapshotHeader.read(file));
    }

    private DecodedSnapshot decode(SnapshotHeader header) {
        if (header.length() != file.length) {
            faults.add("byte " + SnapshotHeader.LENGTH_OFFSET + ": the file should have " + header.length()
                    + " bytes and has " + file.length);
        }
        input.position(SnapshotHeader.BYTES);
        int sections = Math.min(header.sections(), MAX_SECTIONS);
        int read = 0;
        while (read < sections && readSection(read + 1)) {
            read++;
        }
        if (read < header.sections()) {
            faults.add("byte " + input.position() + ": " + (header.sections() - read) + " sections are missing");
        }
        if (!assembler.hasIdentity()) {
            faults.add("byte " + SnapshotHeader.BYTES + ": there is no valid section with site and proxy number");
            return new DecodedSnapshot(null, faults, skipped);
        }
        return new DecodedSnapshot(assembler.build(header.writtenMs(), header.generation()), faults, skipped);
    }

    /** Reads a section and moves past it; returns false if its end, and so the start of the next one, is unknown. */
    private boolean readSection(int number) {
        int from = input.position();
        if (input.remaining() < SectionWriter.SECTION_HEADER_BYTES + Checksums.BYTES) {
            return false;
        }
        int code = Short.toUnsignedInt(input.getShort());
        int version = Short.toUnsignedInt(input.getShort());
        int size = input.getInt();
        if (size < 0 || size > input.remaining() - Checksums.BYTES) {
            return false;
        }
        int contentOffset = from + SectionWriter.SECTION_HEADER_BYTES;
        int checksumOffset = contentOffset + size;
        Optional<SectionKind> kind = SectionKind.readable(code, version);
        if (Checksums.crc32c(file, from, checksumOffset - from) != input.getInt(checksumOffset)) {
            faults.add("byte " + from + ": section " + number + " is damaged");
        } else if (kind.isEmpty()) {
            skipped.add("byte " + from + ": section of kind " + code + ", version " + version + ", of a newer program");
        } else {
            addSection(number, from, kind.get(), version, input.slice(contentOffset, size));
        }
        input.position(checksumOffset + Checksums.BYTES);
        return true;
    }

    private void addSection(int number, int from, SectionKind kind, int version, ByteBuffer content) {
        try {
            assembler.add(kind, version, new SectionReader(content));
        } catch (BufferUnderflowException e) {
            addInvalid(number, from, "it ends early");
        } catch (InvalidSectionException | CharacterCodingException e) {
            addInvalid(number, from, e.getMessage());
        }
    }

    private void addInvalid(int number, int from, String reason) {
        faults.add("byte " + from + ": section " + number + " has invalid content: " + reason);
    }
}
