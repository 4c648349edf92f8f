package damsonworks.rig.check;

import java.util.List;

/** An invariant over a whole history, judged from outside the processes. */
public interface Checker {
    /** A word for it. */
    String name();

    /** What breaks it; empty if nothing does. At most {@link Findings#MOST} are told in words. */
    Findings check(Run run);

    /** All that hold for any scenario. */
    static List<Checker> all() {
        return List.of(new OneAnswer(), new NoEffectTwice(), new DrainsKept(), new ColdSum(), new NoCrash(), new OneHolder(), new ActsInOrder(),
                new LimitKept());
    }
}
