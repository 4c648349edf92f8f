package cacheproxy.snapshot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.UserPrincipal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two generations on a disk that fails, and a world that ends at any moment of a write. */
@Timeout(60)
class SnapshotStoreTest {
    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void path() {
        file = folder.resolve("memory");
    }

    /** The n-th state, told apart by its proxy's number. */
    private static StateSnapshot state(int n) {
        StateSnapshot s = SnapshotCodecTest.SMALL;
        return new StateSnapshot(
                s.site(), n, s.writtenMs(), 0, s.pools(), List.of(new ServerStart(1, "10.0.0.1:1", n, false)));
    }

    private static void await(BooleanSupplier event) throws InterruptedException {
        while (!event.getAsBoolean()) {
            if (Thread.interrupted()) {
                throw new InterruptedException(); // the test's time is over
            }
            Thread.onSpinWait();
        }
    }

    /** The real disk up to the moment at which the process dies; of a write that is cut, so many bytes remain. */
    private static final class Mortal implements SnapshotFileSystem {
        private int steps;
        private final int cutAt;

        Mortal(int steps, int cutAt) {
            this.steps = steps;
            this.cutAt = cutAt;
        }

        private static final class Death extends RuntimeException {
            private static final long serialVersionUID = 1L;
        }

        private void step() {
            if (steps-- == 0) {
                throw new Death();
            }
        }

        @Override
        public void write(Path at, byte[] bytes) throws IOException {
            if (cutAt >= 0 && steps == 0) {
                REAL.write(at, Arrays.copyOf(bytes, Math.min(cutAt, bytes.length)));
            }
            step();
            REAL.write(at, bytes);
        }

        @Override
        public void alias(Path at, Path name) throws IOException {
            step();
            REAL.alias(at, name);
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            step();
            REAL.rename(from, to);
        }

        @Override
        public void forceDirectory(Path directory) throws IOException {
            step();
            REAL.forceDirectory(directory);
        }

        @Override
        public byte[] read(Path at, int most) throws IOException {
            return REAL.read(at, most);
        }
    }

    private SnapshotStore.Found found() {
        return SnapshotStore.at(file).read();
    }

    @Test
    void theNewestIsReadAndTheOneBeforeItIsKept() throws Exception {
        assertThat(found()).isEqualTo(new SnapshotStore.Found(null, false, List.of()));
        SnapshotStore files = SnapshotStore.at(file);
        for (int n = 1; n <= 3; n++) {
            files.write(state(n));
        }
        assertThat(found().content().proxyNumber()).isEqualTo(3);
        assertThat(found().content().generation()).isEqualTo(3);
        assertThat(SnapshotStore.at(folder.resolve("memory.old"))
                        .read()
                        .content()
                        .proxyNumber())
                .isEqualTo(2);
        SnapshotStore next = SnapshotStore.at(file);
        next.read();
        next.write(state(4));
        assertThat(found().content().generation()).as("counted on").isEqualTo(4);
        try (var left = Files.list(folder)) {
            assertThat(left.map(p -> p.getFileName().toString())).containsExactlyInAnyOrder("memory", "memory.old");
        }
    }

    /** Each write is some steps; the process dies before each of them, and in the first after each byte. */
    @Test
    void whereverAProcessDiesOneOfTheTwoIsWholeAndTheNextWritesOn() throws Exception {
        int length = SnapshotCodec.encode(state(1)).length;
        int generations = 0;
        for (int n = 1; n <= length + 5; n++) {
            boolean cut = n <= length;
            SnapshotStore dying = new SnapshotStore(file, new Mortal(cut ? 0 : n - length - 1, cut ? n - 1 : -1));
            SnapshotStore.Found before = dying.read();
            int was = before.content() == null ? 0 : before.content().proxyNumber();
            boolean died = false;
            try {
                dying.write(state(was + 1));
            } catch (Mortal.Death e) {
                died = true;
            }
            SnapshotStore.Found after = found();
            if (generations > 0) {
                assertThat(after.content()).as("death " + n).isNotNull();
                assertThat(after.notes()).as("death " + n).isEmpty();
                assertThat(after.content().proxyNumber()).as("death " + n).isIn(was, was + 1);
                assertThat(died || after.content().proxyNumber() == was + 1).isTrue();
            }
            SnapshotStore living = SnapshotStore.at(file);
            SnapshotStore.Found found = living.read();
            living.write(state((found.content() == null ? 0 : found.content().proxyNumber()) + 1));
            generations++;
        }
    }

    /** A rename may reach the disk before the data does, after a loss of power. */
    @Test
    void whereTheDataOfTheNewestIsGoneTheOneBeforeHolds() throws Exception {
        SnapshotStore files = SnapshotStore.at(file);
        files.write(state(1));
        files.write(state(2));
        byte[] good = Files.readAllBytes(file);
        for (byte[] bad : List.of(new byte[0], new byte[good.length], Arrays.copyOf(good, 100))) {
            Files.write(file, bad);
            assertThat(found().content().proxyNumber()).isEqualTo(1);
            assertThat(found().older()).isTrue();
            assertThat(found().notes()).isNotEmpty().allMatch(l -> l.startsWith(file + ": byte "));
        }
        // What is damaged does not push out the last that is whole, even if the next write dies half way.
        SnapshotStore dying = new SnapshotStore(file, new Mortal(1, -1));
        dying.read();
        assertThatThrownBy(() -> dying.write(state(3))).isInstanceOf(Mortal.Death.class);
        assertThat(found().content().proxyNumber()).isEqualTo(1);
        SnapshotStore next = SnapshotStore.at(file);
        next.read();
        next.write(state(3));
        assertThat(found().content().proxyNumber()).isEqualTo(3);
        assertThat(found().content().generation())
                .as("one after the newest that could be read")
                .isEqualTo(3);
        assertThat(SnapshotStore.at(folder.resolve("memory.old"))
                        .read()
                        .content()
                        .proxyNumber())
                .isEqualTo(1);
        // Both damaged: what is whole of the newest.
        byte[] part = Files.readAllBytes(file);
        part[part.length - 1] ^= 1;
        Files.write(file, part);
        Files.write(folder.resolve("memory.old"), new byte[5]);
        assertThat(found().content().proxyNumber()).isEqualTo(3);
        assertThat(found().content().serverStarts()).isEmpty();
    }

    @Test
    void linksStrangersAndWhatIsNoFileAreToldAndNotRead() throws Exception {
        SnapshotStore.at(folder.resolve("elsewhere")).write(state(1));
        Files.createSymbolicLink(file, folder.resolve("elsewhere"));
        assertThat(found().content()).isNull();
        assertThat(found().notes()).containsExactly(file + ": it is a symbolic link; name the file itself");
        byte[] before = Files.readAllBytes(folder.resolve("elsewhere"));
        SnapshotStore files = SnapshotStore.at(file);
        files.read();
        files.write(state(2));
        assertThat(Files.readAllBytes(folder.resolve("elsewhere")))
                .as("the link is replaced, not followed")
                .isEqualTo(before);
        Files.delete(file);
        Files.createDirectory(file);
        assertThat(found().notes()).containsExactly(file + ": it is no plain file");
        Files.delete(file);
        // A link laid where the new file is to be written must not be written through.
        Files.createSymbolicLink(folder.resolve("memory.new"), folder.resolve("elsewhere"));
        SnapshotStore.at(file).write(state(3));
        assertThat(Files.readAllBytes(folder.resolve("elsewhere"))).isEqualTo(before);
    }

    @Test
    void aFileOfSomebodyElseIsNotBelieved() throws Exception {
        SnapshotStore.at(file).write(state(1));
        UserPrincipal other = null;
        try {
            other = file.getFileSystem().getUserPrincipalLookupService().lookupPrincipalByName("nobody");
            Files.setOwner(file, other);
        } catch (IOException e) {
            Assumptions.abort("only a superuser can give a file away");
        }
        assertThat(found().content()).isNull();
        assertThat(found().notes()).singleElement().asString().contains("belongs to nobody");
    }

    @Test
    void aHugeFileIsNotReadAtAll() throws Exception {
        try (RandomAccessFile f = new RandomAccessFile(file.toFile(), "rw")) {
            f.setLength(1L << 30);
        }
        assertThat(found().content()).isNull();
        assertThat(found().notes())
                .containsExactly(
                        file + ": it has 1073741824 bytes; a memory file has at most " + SnapshotCodec.MAX_BYTES);
    }

    @Test
    void oneProcessHasThePathAtATime() throws Exception {
        SnapshotStore first = SnapshotStore.at(file);
        SnapshotStore second = SnapshotStore.at(file);
        assertThat(first.lock()).isTrue();
        assertThat(second.lock()).isFalse();
        first.close();
        assertThat(second.lock()).isTrue();
        second.close();
        Files.delete(folder.resolve("memory.lock"));
        Files.createSymbolicLink(folder.resolve("memory.lock"), folder.resolve("x"));
        assertThatThrownBy(() -> SnapshotStore.at(file).lock()).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> SnapshotStore.at(folder.resolve("none").resolve("memory"))
                        .lock())
                .isInstanceOf(IOException.class)
                .satisfies(
                        e -> assertThat(SnapshotStore.reason((IOException) e)).isEqualTo("its directory is not there"));
    }

    /** A disk whose writes can be made to fail or to wait. */
    private static final class Faulty implements SnapshotFileSystem {
        volatile IOException fault;
        final Semaphore gate = new Semaphore(1_000_000);
        final List<byte[]> written = new ArrayList<>();

        @Override
        public void write(Path at, byte[] bytes) throws IOException {
            gate.acquireUninterruptibly();
            if (fault != null) {
                throw fault;
            }
            synchronized (written) {
                written.add(bytes);
            }
            REAL.write(at, bytes);
        }

        @Override
        public void alias(Path at, Path name) throws IOException {
            REAL.alias(at, name);
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            REAL.rename(from, to);
        }

        @Override
        public void forceDirectory(Path directory) throws IOException {
            REAL.forceDirectory(directory);
        }

        @Override
        public byte[] read(Path at, int most) throws IOException {
            return REAL.read(at, most);
        }
    }

    @Test
    void aFullDiskIsToldOfOnceAndTheOldFileStays() throws Exception {
        Faulty disk = new Faulty();
        List<String> told = java.util.Collections.synchronizedList(new ArrayList<>());
        CountDownLatch again = new CountDownLatch(2);
        SnapshotWriter writer = new SnapshotWriter(new SnapshotStore(file, disk), 1e12, line -> {
            told.add(line);
            again.countDown();
        });
        writer.offer(state(1));
        await(() -> writer.writes() == 1);
        disk.fault = new FileSystemException("memory.new", null, "No space left on device");
        for (int i = 2; i < 50; i++) {
            writer.offer(state(i));
        }
        await(() -> again.getCount() < 2);
        assertThat(found().content().proxyNumber()).isEqualTo(1);
        disk.fault = null;
        writer.offer(state(50));
        again.await();
        writer.finish(state(51), 50_000);
        assertThat(told)
                .containsExactly(
                        "memory: can't write: No space left on device; goes on without", "memory: writes again");
        assertThat(found().content().proxyNumber()).isEqualTo(51);
    }

    @Test
    void aDirectoryThatMayNotBeWrittenIsToldAndTheLastWriteReturns() throws Exception {
        Faulty disk = new Faulty();
        disk.fault = new java.nio.file.AccessDeniedException(
                folder.resolve("memory.new").toString());
        List<String> told = java.util.Collections.synchronizedList(new ArrayList<>());
        SnapshotWriter writer = new SnapshotWriter(new SnapshotStore(file, disk), 1e12, told::add);
        writer.offer(state(1));
        writer.finish(state(2), 50_000);
        assertThat(told).containsExactly("memory: can't write: no permission; goes on without");
        assertThat(writer.writes()).isZero();
        assertThat(found().content()).isNull();
    }

    /** One may wait while the disk is slow; a newer one takes its place, and the last is written in any case. */
    @Test
    void aSlowDiskHoldsUpNobodyAndOnlyTheNewestWaits() throws Exception {
        Faulty disk = new Faulty();
        disk.gate.drainPermits();
        SnapshotWriter writer = new SnapshotWriter(new SnapshotStore(file, disk), 1e12, line -> {});
        for (int i = 1; i <= 10_000; i++) {
            writer.offer(state(i));
        }
        Thread last = new Thread(() -> {
            try {
                writer.finish(state(10_001), 50_000);
            } catch (InterruptedException e) {
                // the test has ended
            }
        });
        last.start();
        disk.gate.release(1_000_000);
        last.join();
        assertThat(disk.written.size()).isLessThanOrEqualTo(3);
        assertThat(found().content().proxyNumber()).isEqualTo(10_001);
        writer.offer(state(1));
        assertThat(found().content().proxyNumber()).as("nothing after the last").isEqualTo(10_001);
    }

    @Test
    void nothingIsWrittenWhereNothingHasHappenedAndAnAbandonedWriterWritesNoMore() throws Exception {
        SnapshotWriter writer = new SnapshotWriter(SnapshotStore.at(file), 1e12, line -> {});
        StateSnapshot s = state(1);
        writer.offer(s);
        await(() -> writer.writes() == 1);
        writer.offer(new StateSnapshot(s.site(), 1, s.writtenMs() + 5000, 0, Map.copyOf(s.pools()), s.serverStarts()));
        writer.abandon();
        writer.offer(state(2));
        assertThat(writer.writes()).isEqualTo(1);
        assertThat(writer.bytes()).isEqualTo(Files.size(file));
    }
}
