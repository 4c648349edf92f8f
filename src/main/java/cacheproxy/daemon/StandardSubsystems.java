package cacheproxy.daemon;

import cacheproxy.daemon.fleet.FleetSubsystem;
import cacheproxy.daemon.hooks.HookSubsystem;
import cacheproxy.daemon.snapshot.SnapshotSubsystem;
import java.util.List;
import java.util.stream.Stream;

/** The list of the daemon's subsystems. */
final class StandardSubsystems {
    /** In the order in which they are opened and adopt a configuration. */
    static final List<Subsystem.Registration> ALL = List.of(
            new Subsystem.Registration("memory", SnapshotSubsystem::open),
            new Subsystem.Registration("hook", HookSubsystem::open),
            new Subsystem.Registration(SiblingSocket.SECTION, SiblingSocket::open),
            new Subsystem.Registration("fleet", FleetSubsystem::open),
            new Subsystem.Registration(ControlSubsystem.SECTION, ControlSubsystem::open));

    private StandardSubsystems() {}

    /** Returns all subsystems and another one that is opened last; for tests. */
    static List<Subsystem.Registration> with(Subsystem.Registration last) {
        return Stream.concat(ALL.stream(), Stream.of(last)).toList();
    }
}
