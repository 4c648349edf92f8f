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
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two generations on a file system that fails, and a process that crashes at any moment of a write. */
@Timeout(60)
class SnapshotStoreTest {
    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void setUpPath() {
        file = folder.resolve("memory");
    }

    /** Returns a state that can be identified by its proxy number. */
    private static StateSnapshot state(int number) {
        StateSnapshot small = SnapshotCodecTest.SMALL;
        return new StateSnapshot(
                small.site(),
                number,
                small.writtenMs(),
                0,
                small.pools(),
                List.of(new ServerStart(1, "10.0.0.1:1", number, false)));
    }

    private static void await(BooleanSupplier event) throws InterruptedException {
        while (!event.getAsBoolean()) {
            if (Thread.interrupted()) {
                throw new InterruptedException(); // the test has timed out
            }
            Thread.onSpinWait();
        }
    }

    /** The real file system up to a simulated crash; of an interrupted write, the first {@code cutAt} bytes remain. */
    private static final class CrashingFileSystem implements SnapshotFileSystem {
        private int stepsBeforeCrash;
        private final int cutAt;

        CrashingFileSystem(int stepsBeforeCrash, int cutAt) {
            this.stepsBeforeCrash = stepsBeforeCrash;
            this.cutAt = cutAt;
        }

        private static final class SimulatedCrash extends RuntimeException {
            private static final long serialVersionUID = 1L;
        }

        private void step() {
            if (stepsBeforeCrash-- == 0) {
                throw new SimulatedCrash();
            }
        }

        @Override
        public void write(Path target, byte[] bytes) throws IOException {
            if (cutAt >= 0 && stepsBeforeCrash == 0) {
                SYSTEM.write(target, Arrays.copyOf(bytes, Math.min(cutAt, bytes.length)));
            }
            step();
            SYSTEM.write(target, bytes);
        }

        @Override
        public void link(Path target, Path name) throws IOException {
            step();
            SYSTEM.link(target, name);
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            step();
            SYSTEM.rename(from, to);
        }

        @Override
        public void forceDirectory(Path directory) throws IOException {
            step();
            SYSTEM.forceDirectory(directory);
        }

        @Override
        public Optional<byte[]> read(Path target, int maxBytes) throws IOException {
            return SYSTEM.read(target, maxBytes);
        }
    }

    private StoredSnapshot read() {
        return SnapshotStore.at(file).read();
    }

    @Test
    void readsNewestGenerationAndKeepsPrevious() throws Exception {
        assertThat(read()).isEqualTo(new StoredSnapshot(null, false, List.of()));
        SnapshotStore store = SnapshotStore.at(file);
        for (int number = 1; number <= 3; number++) {
            store.write(state(number));
        }
        assertThat(read().content().proxyNumber()).isEqualTo(3);
        assertThat(read().content().generation()).isEqualTo(3);
        assertThat(SnapshotStore.at(folder.resolve("memory.old"))
                        .read()
                        .content()
                        .proxyNumber())
                .isEqualTo(2);
        SnapshotStore next = SnapshotStore.at(file);
        next.read();
        next.write(state(4));
        assertThat(read().content().generation())
                .as("the count continues after a restart")
                .isEqualTo(4);
        try (var left = Files.list(folder)) {
            assertThat(left.map(path -> path.getFileName().toString()))
                    .containsExactlyInAnyOrder("memory", "memory.old");
        }
    }

    /**
     * A write has several steps; the process crashes before each of them, and in the first step also after each byte.
     */
    @Test
    void keepsOneCompleteGenerationWhereverProcessCrashes() throws Exception {
        int length = SnapshotCodec.encode(state(1)).length;
        int generations = 0;
        for (int number = 1; number <= length + 5; number++) {
            boolean cut = number <= length;
            SnapshotStore crashingStore = new SnapshotStore(
                    file, new CrashingFileSystem(cut ? 0 : number - length - 1, cut ? number - 1 : -1));
            StoredSnapshot before = crashingStore.read();
            int previousNumber = before.content() == null ? 0 : before.content().proxyNumber();
            boolean crashed = false;
            try {
                crashingStore.write(state(previousNumber + 1));
            } catch (CrashingFileSystem.SimulatedCrash exception) {
                crashed = true;
            }
            StoredSnapshot after = read();
            if (generations > 0) {
                assertThat(after.content()).as("crash " + number).isNotNull();
                assertThat(after.notes()).as("crash " + number).isEmpty();
                assertThat(after.content().proxyNumber())
                        .as("crash " + number)
                        .isIn(previousNumber, previousNumber + 1);
                assertThat(crashed || after.content().proxyNumber() == previousNumber + 1)
                        .isTrue();
            }
            SnapshotStore recoveredStore = SnapshotStore.at(file);
            StoredSnapshot found = recoveredStore.read();
            recoveredStore.write(
                    state((found.content() == null ? 0 : found.content().proxyNumber()) + 1));
            generations++;
        }
    }

    /** After a power failure, a rename can have reached the disk before the data of the file. */
    @Test
    void fallsBackToPreviousGenerationWhenNewestIsDamaged() throws Exception {
        SnapshotStore store = SnapshotStore.at(file);
        store.write(state(1));
        store.write(state(2));
        byte[] intact = Files.readAllBytes(file);
        for (byte[] damaged : List.of(new byte[0], new byte[intact.length], Arrays.copyOf(intact, 100))) {
            Files.write(file, damaged);
            assertThat(read().content().proxyNumber()).isEqualTo(1);
            assertThat(read().fromPreviousGeneration()).isTrue();
            assertThat(read().notes()).isNotEmpty().allMatch(line -> line.startsWith(file + ": byte "));
        }
        // A damaged file does not replace the last complete one, even if the next write crashes half way.
        SnapshotStore crashingStore = new SnapshotStore(file, new CrashingFileSystem(1, -1));
        crashingStore.read();
        assertThatThrownBy(() -> crashingStore.write(state(3))).isInstanceOf(CrashingFileSystem.SimulatedCrash.class);
        assertThat(read().content().proxyNumber()).isEqualTo(1);
        SnapshotStore next = SnapshotStore.at(file);
        next.read();
        next.write(state(3));
        assertThat(read().content().proxyNumber()).isEqualTo(3);
        assertThat(read().content().generation())
                .as("one after the newest that could be read")
                .isEqualTo(3);
        assertThat(SnapshotStore.at(folder.resolve("memory.old"))
                        .read()
                        .content()
                        .proxyNumber())
                .isEqualTo(1);
        // Both are damaged: the intact sections of the newest are used.
        byte[] partlyDamaged = Files.readAllBytes(file);
        partlyDamaged[partlyDamaged.length - 1] ^= 1;
        Files.write(file, partlyDamaged);
        Files.write(folder.resolve("memory.old"), new byte[5]);
        assertThat(read().content().proxyNumber()).isEqualTo(3);
        assertThat(read().content().serverStarts()).isEmpty();
    }

    @Test
    void rejectsLinksAndNonRegularFiles() throws Exception {
        SnapshotStore.at(folder.resolve("elsewhere")).write(state(1));
        Files.createSymbolicLink(file, folder.resolve("elsewhere"));
        assertThat(read().content()).isNull();
        assertThat(read().notes()).containsExactly(file + ": it is a symbolic link; name the file itself");
        byte[] before = Files.readAllBytes(folder.resolve("elsewhere"));
        SnapshotStore store = SnapshotStore.at(file);
        store.read();
        store.write(state(2));
        assertThat(Files.readAllBytes(folder.resolve("elsewhere")))
                .as("the link is replaced, not followed")
                .isEqualTo(before);
        Files.delete(file);
        Files.createDirectory(file);
        assertThat(read().notes()).containsExactly(file + ": it is not a regular file");
        Files.delete(file);
        // If the path of the new file is a symbolic link, the write must not follow it.
        Files.createSymbolicLink(folder.resolve("memory.new"), folder.resolve("elsewhere"));
        SnapshotStore.at(file).write(state(3));
        assertThat(Files.readAllBytes(folder.resolve("elsewhere"))).isEqualTo(before);
    }

    @Test
    void rejectsFileOfAnotherOwner() throws Exception {
        SnapshotStore.at(file).write(state(1));
        UserPrincipal other = null;
        try {
            other = file.getFileSystem().getUserPrincipalLookupService().lookupPrincipalByName("nobody");
            Files.setOwner(file, other);
        } catch (IOException exception) {
            Assumptions.abort("only the superuser can change the owner of a file");
        }
        assertThat(read().content()).isNull();
        assertThat(read().notes()).singleElement().asString().contains("belongs to nobody");
    }

    @Test
    void rejectsOversizedFileWithoutReadingIt() throws Exception {
        try (RandomAccessFile sparse = new RandomAccessFile(file.toFile(), "rw")) {
            sparse.setLength(1L << 30);
        }
        assertThat(read().content()).isNull();
        assertThat(read().notes())
                .containsExactly(
                        file + ": it has 1073741824 bytes; a memory file has at most " + SnapshotCodec.MAX_BYTES);
    }

    @Test
    void allowsOneProcessPerPath() throws Exception {
        SnapshotStore first = SnapshotStore.at(file);
        SnapshotStore second = SnapshotStore.at(file);
        assertThat(first.tryLock()).isTrue();
        assertThat(second.tryLock()).isFalse();
        first.close();
        assertThat(second.tryLock()).isTrue();
        second.close();
        Files.delete(folder.resolve("memory.lock"));
        Files.createSymbolicLink(folder.resolve("memory.lock"), folder.resolve("x"));
        assertThatThrownBy(() -> SnapshotStore.at(file).tryLock()).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> SnapshotStore.at(folder.resolve("none").resolve("memory"))
                        .tryLock())
                .isInstanceOf(IOException.class)
                .satisfies(exception -> assertThat(SnapshotStore.describe((IOException) exception))
                        .isEqualTo("its directory is not there"));
    }

    /** A file system whose writes can be made to fail or to wait. */
    private static final class FaultyFileSystem implements SnapshotFileSystem {
        volatile IOException fault;
        final Semaphore gate = new Semaphore(1_000_000);
        final List<byte[]> written = new ArrayList<>();

        @Override
        public void write(Path target, byte[] bytes) throws IOException {
            gate.acquireUninterruptibly();
            if (fault != null) {
                throw fault;
            }
            synchronized (written) {
                written.add(bytes);
            }
            SYSTEM.write(target, bytes);
        }

        @Override
        public void link(Path target, Path name) throws IOException {
            SYSTEM.link(target, name);
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            SYSTEM.rename(from, to);
        }

        @Override
        public void forceDirectory(Path directory) throws IOException {
            SYSTEM.forceDirectory(directory);
        }

        @Override
        public Optional<byte[]> read(Path target, int maxBytes) throws IOException {
            return SYSTEM.read(target, maxBytes);
        }
    }

    @Test
    void reportsFullDiskOnceAndKeepsOldFile() throws Exception {
        FaultyFileSystem disk = new FaultyFileSystem();
        List<String> lines = java.util.Collections.synchronizedList(new ArrayList<>());
        CountDownLatch again = new CountDownLatch(2);
        SnapshotWriter writer = new SnapshotWriter(new SnapshotStore(file, disk), 1e12, line -> {
            lines.add(line);
            again.countDown();
        });
        writer.offer(state(1));
        await(() -> writer.writeCount() == 1);
        disk.fault = new FileSystemException("memory.new", null, "No space left on device");
        for (int i = 2; i < 50; i++) {
            writer.offer(state(i));
        }
        await(() -> again.getCount() < 2);
        assertThat(read().content().proxyNumber()).isEqualTo(1);
        disk.fault = null;
        writer.offer(state(50));
        again.await();
        writer.writeLast(state(51), 50_000);
        assertThat(lines)
                .containsExactly(
                        "memory: can't write: No space left on device; goes on without", "memory: writes again");
        assertThat(read().content().proxyNumber()).isEqualTo(51);
    }

    @Test
    void reportsMissingPermissionAndReturnsFromLastWrite() throws Exception {
        FaultyFileSystem disk = new FaultyFileSystem();
        disk.fault = new java.nio.file.AccessDeniedException(
                folder.resolve("memory.new").toString());
        List<String> lines = java.util.Collections.synchronizedList(new ArrayList<>());
        SnapshotWriter writer = new SnapshotWriter(new SnapshotStore(file, disk), 1e12, lines::add);
        writer.offer(state(1));
        writer.writeLast(state(2), 50_000);
        assertThat(lines).containsExactly("memory: can't write: no permission; goes on without");
        assertThat(writer.writeCount()).isZero();
        assertThat(read().content()).isNull();
    }

    /** One snapshot may wait while the disk is slow; a newer one replaces it, and the last is written in any case. */
    @Test
    void slowDiskBlocksNoCallerAndOnlyNewestSnapshotWaits() throws Exception {
        FaultyFileSystem disk = new FaultyFileSystem();
        disk.gate.drainPermits();
        SnapshotWriter writer = new SnapshotWriter(new SnapshotStore(file, disk), 1e12, line -> {});
        for (int i = 1; i <= 10_000; i++) {
            writer.offer(state(i));
        }
        Thread last = new Thread(() -> {
            try {
                writer.writeLast(state(10_001), 50_000);
            } catch (InterruptedException exception) {
                // the test has ended
            }
        });
        last.start();
        disk.gate.release(1_000_000);
        last.join();
        assertThat(disk.written.size()).isLessThanOrEqualTo(3);
        assertThat(read().content().proxyNumber()).isEqualTo(10_001);
        writer.offer(state(1));
        assertThat(read().content().proxyNumber())
                .as("nothing is written after the last")
                .isEqualTo(10_001);
    }

    @Test
    void skipsUnchangedSnapshotsAndWritesNothingAfterStop() throws Exception {
        SnapshotWriter writer = new SnapshotWriter(SnapshotStore.at(file), 1e12, line -> {});
        StateSnapshot small = state(1);
        writer.offer(small);
        await(() -> writer.writeCount() == 1);
        writer.offer(new StateSnapshot(
                small.site(), 1, small.writtenMs() + 5000, 0, Map.copyOf(small.pools()), small.serverStarts()));
        writer.stopWithoutWriting();
        writer.offer(state(2));
        assertThat(writer.writeCount()).isEqualTo(1);
        assertThat(writer.byteCount()).isEqualTo(Files.size(file));
    }
}
