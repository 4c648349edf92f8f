package damsonworks.bench;

import damsonworks.knowledge.Knowledge;
import damsonworks.knowledge.Recollection;
import damsonworks.memory.MemoryFiles;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A process that writes a memory over and over until it is killed; each state can be told from its own parts. */
public final class MemoryVictim {
    private MemoryVictim() { }

    /** Writes at the path that is given; a line on standard output once it has begun. */
    public static void main(String[] args) throws Exception {
        MemoryFiles files = MemoryFiles.at(Path.of(args[0]));
        if (!files.lock()) {
            throw new IllegalStateException("locked");
        }
        MemoryFiles.Found found = files.read();
        int n = found.content() == null ? 0 : found.content().me();
        System.out.println("writes");
        while (true) {
            files.write(state(++n));
        }
    }

    /** The n-th state: some kilobytes, more each time up to a bound. */
    static Recollection state(int n) {
        List<Knowledge.Server> servers = new ArrayList<>();
        for (int i = 0; i < 20 + n % 300; i++) {
            servers.add(new Knowledge.Server(i, n, n % 7 + 1, n, 0));
        }
        return new Recollection("victim", n, 1e12 + n, 0, Map.of("a", new Recollection.Pool("", new Knowledge(servers,
                new Knowledge.Pace(n, n, n, n, 1), Knowledge.NONE.fetches(), Knowledge.NONE.crowd(), Knowledge.NONE.hot()), Map.of())),
                List.of());
    }
}
