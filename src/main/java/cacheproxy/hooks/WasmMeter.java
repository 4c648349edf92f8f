package cacheproxy.hooks;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Writes a module (WebAssembly Core Specification 2.0, section 5, without vectors) anew so that it counts its work: a
 * global holds what is left, every entry of a function or of a loop's body takes what runs until the next such place,
 * and a count below zero traps. The count is the same for the interpreter, the compiler and every machine.
 *
 * <p>Also checks what must be known before anything runs: imports, memory, tables.
 */
final class WasmMeter {
    /** Larger ones are refused before they are read. */
    static final int MAX_MODULE = 4 << 20;

    private static final int MAX_TABLE = 65_536;
    /** memory.init, memory.copy, memory.fill, table.init, table.copy, table.fill. */
    private static final java.util.Set<Integer> BULK = java.util.Set.of(8, 10, 11, 12, 14, 17);

    private static final int MAX_NESTING = 1000;
    private static final int MAX_LOCALS = 50_000;
    /** Of growing the memory, which clears pages. */
    private static final int GROW_COST = 4096;
    /** Bytes, or elements, that a bulk instruction moves in the time of one other: 2 to the power of this. */
    private static final int BULK_SHIFT = 4;

    private final byte[] in;
    private int at;
    private final int maxPages;
    private final Map<String, String> offered;
    private int globals;
    private int pages;
    /** How many parameters the functions of each type have, and the types of the module's own functions. */
    private final List<Integer> params = new ArrayList<>();

    private final List<Integer> functions = new ArrayList<>();

    /**
     * A metered module.
     *
     * @param fuelGlobal index of the global that holds what is left
     * @param pages of its memory at the start; 0: it has none
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    record Metered(byte[] module, int fuelGlobal, int pages) {}

    private WasmMeter(byte[] module, int maxPages, Map<String, String> offered) {
        in = module;
        this.maxPages = maxPages;
        this.offered = offered;
    }

    /**
     * Meters a module.
     *
     * @param maxPages of 64 KiB that its memory may have at its start
     * @param offered imports by {@code module.name}, with their types such as {@code (i32,i32)->()}
     * @param fuel what it has until it is first set, for a start function
     */
    static Metered meter(byte[] module, int maxPages, Map<String, String> offered, long fuel) throws HookException {
        if (module.length > MAX_MODULE) {
            throw new HookException("the module has " + module.length + " bytes; at most " + MAX_MODULE);
        }
        WasmMeter m = new WasmMeter(module, maxPages, offered);
        try {
            return m.run(fuel);
        } catch (ArrayIndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new HookException("the module ends too early, at byte " + module.length);
        }
    }

    private Metered run(long fuel) throws HookException {
        if (in.length < 8 || in[0] != 0 || in[1] != 'a' || in[2] != 's' || in[3] != 'm') {
            throw new HookException("this is no WebAssembly module: it does not begin with \\0asm");
        }
        if (in[4] != 1 || in[5] != 0 || in[6] != 0 || in[7] != 0) {
            throw new HookException("WebAssembly version " + in[4] + " is not known; 1 is");
        }
        // The first pass counts globals and checks; the second writes.
        List<int[]> sections = new ArrayList<>();
        at = 8;
        while (at < in.length) {
            int id = in[at++] & 255;
            int size = u32();
            if (size < 0 || size > in.length - at) {
                throw new HookException("section " + id + " at byte " + at + " goes beyond the module's end");
            }
            sections.add(new int[] {id, at, at + size});
            at += size;
        }
        List<String> types = new ArrayList<>();
        for (int[] s : sections) {
            at = s[1];
            switch (s[0]) {
                case 1 -> types = types();
                case 2 -> imports(types);
                case 3 -> {
                    for (int n = u32(); n > 0; n--) {
                        functions.add(u32());
                    }
                }
                case 4 -> tables();
                case 5 -> memories();
                case 6 -> globals = u32();
                default -> {}
            }
        }
        Out out = new Out();
        out.write(in, 0, 8);
        boolean done = false;
        for (int[] s : sections) {
            boolean later = s[0] == 7 || s[0] == 8 || s[0] == 9 || s[0] == 12 || s[0] == 10 || s[0] == 11;
            if (!done && (s[0] == 6 || later)) {
                global(s, fuel, out);
                done = true;
            }
            if (s[0] == 10) {
                out.section(10, code(s));
            } else if (s[0] != 6) {
                out.section(s[0], Arrays.copyOfRange(in, s[1], s[2]));
            }
        }
        if (!done) {
            throw new HookException("the module exports nothing");
        }
        return new Metered(out.toByteArray(), globals, pages);
    }

    private void global(int[] section, long fuel, Out out) throws HookException {
        Out body = new Out();
        body.u32(globals + 1);
        if (section[0] == 6) {
            at = section[1];
            u32();
            body.write(in, at, section[2] - at);
        }
        body.write(0x7E); // i64
        body.write(1); // mutable
        body.write(0x42);
        body.s64(fuel);
        body.write(0x0B);
        out.section(6, body.toByteArray());
    }

    // ---- what is checked

    private static String valueType(int code) {
        return switch (code) {
            case 0x7F -> "i32";
            case 0x7E -> "i64";
            case 0x7D -> "f32";
            case 0x7C -> "f64";
            default -> "0x" + Integer.toHexString(code);
        };
    }

    private List<String> types() throws HookException {
        List<String> all = new ArrayList<>();
        for (int n = u32(); n > 0; n--) {
            if ((in[at++] & 255) != 0x60) {
                throw new HookException("a type at byte " + at + " is none of a function");
            }
            String from = values();
            params.add(from.isEmpty() ? 0 : from.split(",").length);
            all.add("(" + from + ")->(" + values() + ")");
        }
        return all;
    }

    private String values() throws HookException {
        List<String> list = new ArrayList<>();
        for (int n = u32(); n > 0; n--) {
            list.add(valueType(in[at++] & 255));
        }
        return String.join(",", list);
    }

    private String name() throws HookException {
        int n = u32();
        if (n < 0 || n > in.length - at) {
            throw new HookException("a name at byte " + at + " goes beyond the module's end");
        }
        String s = new String(in, at, n, StandardCharsets.UTF_8);
        at += n;
        return s;
    }

    private void imports(List<String> types) throws HookException {
        for (int n = u32(); n > 0; n--) {
            String called = name() + "." + name();
            int kind = in[at++] & 255;
            String type = kind == 0 ? type(types, u32()) : null;
            String wanted = offered.get(called);
            if (wanted == null || !wanted.equals(type)) {
                throw new HookException("it imports " + called + (type == null ? "" : " " + type)
                        + ", which is not offered; there are "
                        + String.join(
                                ", ",
                                offered.keySet().stream()
                                        .sorted()
                                        .map(k -> k + " " + offered.get(k))
                                        .toList()));
            }
        }
    }

    private static <T> T type(List<T> types, int index) throws HookException {
        if (index < 0 || index >= types.size()) {
            throw new HookException("there is no type " + index);
        }
        return types.get(index);
    }

    private void tables() throws HookException {
        for (int n = u32(); n > 0; n--) {
            at++; // type of elements
            int flags = in[at++] & 255;
            int least = u32();
            if ((flags & 1) != 0) {
                u32();
            }
            if (least < 0 || least > MAX_TABLE) {
                throw new HookException(
                        "a table has " + Integer.toUnsignedString(least) + " elements; at most " + MAX_TABLE);
            }
        }
    }

    private void memories() throws HookException {
        for (int n = u32(); n > 0; n--) {
            int flags = in[at++] & 255;
            int least = u32();
            if ((flags & 1) != 0) {
                u32();
            }
            if (flags > 1 || least < 0 || least > maxPages) {
                throw new HookException("its memory has " + Integer.toUnsignedString(least)
                        + " pages at its start; memory_pages is " + maxPages);
            }
            pages = least;
        }
    }

    // ---- code

    private byte[] code(int[] section) throws HookException {
        at = section[1];
        Out out = new Out();
        int count = u32();
        if (count != functions.size()) {
            throw new HookException("there are " + functions.size() + " functions and " + count + " bodies");
        }
        out.u32(count);
        for (int n = 0; n < count; n++) {
            int size = u32();
            int end = at + size;
            if (size < 0 || end > section[2]) {
                throw new HookException("a function's body goes beyond its section");
            }
            Out body = new Out();
            int groups = u32();
            int from = at;
            type(params, functions.get(n));
            long locals = params.get(functions.get(n));
            for (int g = groups; g > 0; g--) {
                locals += u32() & 0xFFFFFFFFL;
                at++;
            }
            if (locals > MAX_LOCALS) {
                throw new HookException("a function has " + locals + " locals; at most " + MAX_LOCALS);
            }
            // One more, for the length of a bulk instruction.
            body.u32(groups + 1);
            body.write(in, from, at - from);
            body.write(1);
            body.write(0x7F);
            function(end, (int) locals, body);
            out.u32(body.size());
            out.write(body.toByteArray(), 0, body.size());
        }
        return out.toByteArray();
    }

    /** A place that takes fuel: a function's entry, a loop's, or before a bulk instruction as much as it moves. */
    private static final class Place {
        final int at;
        final boolean bulk;
        long cost = 1;

        Place(int at, boolean bulk) {
            this.at = at;
            this.bulk = bulk;
        }
    }

    private void function(int end, int local, Out out) throws HookException {
        int start = at;
        List<Place> places = new ArrayList<>();
        Place entry = new Place(start, false);
        places.add(entry);
        // For each open block the place that its instructions count for.
        List<Place> open = new ArrayList<>(List.of(entry));
        while (at < end) {
            Place here = open.isEmpty() ? null : open.get(open.size() - 1);
            if (here == null) {
                throw new HookException("instructions behind a function's end, at byte " + at);
            }
            int from = at;
            int op = in[at++] & 255;
            here.cost += instruction(op);
            if (op == 0xFC && BULK.contains((int) in[from + 1])) {
                places.add(new Place(from, true));
            }
            if (op == 0x03) {
                Place loop = new Place(at, false);
                places.add(loop);
                open.add(loop);
            } else if (op == 0x02 || op == 0x04) {
                open.add(here);
            } else if (op == 0x0B) {
                open.remove(open.size() - 1);
            }
            if (open.size() > MAX_NESTING) {
                throw new HookException("more than " + MAX_NESTING + " blocks in each other, at byte " + at);
            }
        }
        if (at != end || !open.isEmpty()) {
            throw new HookException("a function's body does not end where it should, at byte " + end);
        }
        int from = start;
        for (Place p : places) { // in the order of their bytes
            out.write(in, from, p.at - from);
            if (p.bulk) {
                takeBulk(local, out);
            } else {
                take(p.cost, out);
            }
            from = p.at;
        }
        out.write(in, from, end - from);
    }

    private void take(long cost, Out out) {
        out.write(0x23);
        out.u32(globals);
        out.write(0x42);
        out.s64(cost);
        taken(out);
    }

    /** The length is on the stack's top, and stays there. */
    private void takeBulk(int local, Out out) {
        out.write(0x22); // local.tee
        out.u32(local);
        out.write(0x23);
        out.u32(globals);
        out.write(0x20);
        out.u32(local);
        out.write(0xAD); // i64.extend_i32_u
        out.write(0x42);
        out.s64(BULK_SHIFT);
        out.write(0x88); // i64.shr_u
        taken(out);
    }

    private void taken(Out out) {
        out.write(0x7D); // i64.sub
        out.write(0x24);
        out.u32(globals);
        out.write(0x23);
        out.u32(globals);
        out.write(0x42);
        out.s64(0);
        out.write(0x53); // i64.lt_s
        out.write(0x04); // if
        out.write(0x40);
        out.write(0x00); // unreachable
        out.write(0x0B);
    }

    /** Goes behind an instruction's immediates; its cost. */
    private long instruction(int op) throws HookException {
        if (op >= 0x28 && op <= 0x3E) {
            u32();
            u32();
            return 1;
        }
        if ((op >= 0x45 && op <= 0xC4) || op == 0xD1) {
            return 1;
        }
        switch (op) {
            case 0x00, 0x01, 0x05, 0x0B, 0x0F, 0x1A, 0x1B -> {}
            case 0x02, 0x03, 0x04 -> leb(33);
            case 0x0C, 0x0D, 0x10, 0x20, 0x21, 0x22, 0x23, 0x24, 0x25, 0x26, 0xD2 -> {
                int index = u32();
                if (op == 0x24 && index >= globals) {
                    throw new HookException("there is no global " + index); // the one that counts is not theirs
                }
                if (op == 0x23 && index >= globals) {
                    throw new HookException("there is no global " + index);
                }
            }
            case 0x0E -> {
                for (int n = u32(); n >= 0; n--) {
                    u32();
                }
            }
            case 0x11 -> {
                u32();
                u32();
            }
            case 0x1C -> {
                for (int n = u32(); n > 0; n--) {
                    at++;
                }
            }
            case 0x3F, 0xD0 -> at++;
            case 0x40 -> {
                at++;
                return GROW_COST;
            }
            case 0x41 -> leb(32);
            case 0x42 -> leb(64);
            case 0x43 -> at += 4;
            case 0x44 -> at += 8;
            case 0xFC -> {
                return prefixed();
            }
            default ->
                throw new HookException(
                        "instruction 0x" + Integer.toHexString(op) + " at byte " + (at - 1)
                                + " is not taken; compile for WebAssembly 2.0 without vectors, threads, exceptions and tail calls");
        }
        return 1;
    }

    private long prefixed() throws HookException {
        int from = at;
        int op = u32();
        if (at != from + 1) {
            throw new HookException("instruction 0xfc at byte " + from + " is written in more bytes than it needs");
        }
        switch (op) {
            case 0, 1, 2, 3, 4, 5, 6, 7 -> {}
            case 8 -> {
                u32();
                at++;
            }
            case 9, 13, 16, 17 -> u32();
            case 10 -> at += 2;
            case 11 -> at++;
            case 12, 14 -> {
                u32();
                u32();
            }
            default ->
                throw new HookException(
                        "instruction 0xfc " + op + " is not taken" + (op == 15 ? ": tables don't grow" : ""));
        }
        return 1;
    }

    // ---- numbers (LEB128, section 5.2.2)

    private int u32() throws HookException {
        long v = 0;
        for (int shift = 0; ; shift += 7) {
            int b = in[at++];
            v |= (long) (b & 0x7F) << shift;
            if (b >= 0) {
                return (int) v;
            }
            if (shift >= 28) {
                throw new HookException("a number at byte " + at + " is too long");
            }
        }
    }

    private void leb(int bits) throws HookException {
        for (int read = 7; ; read += 7) {
            if (in[at++] >= 0) {
                return;
            }
            if (read >= bits) {
                throw new HookException("a number at byte " + at + " is too long");
            }
        }
    }

    private static final class Out extends ByteArrayOutputStream {
        void u32(int value) {
            int v = value;
            while ((v & ~0x7F) != 0) {
                write((v & 0x7F) | 0x80);
                v >>>= 7;
            }
            write(v);
        }

        void s64(long value) {
            long v = value;
            while (true) {
                int b = (int) v & 0x7F;
                v >>= 7;
                if ((v == 0 && (b & 0x40) == 0) || (v == -1 && (b & 0x40) != 0)) {
                    write(b);
                    return;
                }
                write(b | 0x80);
            }
        }

        void section(int id, byte[] body) {
            write(id);
            u32(body.length);
            write(body, 0, body.length);
        }
    }
}
