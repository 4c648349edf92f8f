package damsonworks;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** One direction of dependence: command line over fronts and sockets over decisions over RoutingApi. */
class ArchitectureTest {
    /** Free of I/O, clocks and randomness of their own. */
    private static final String[] DECISIONS = {"damsonworks.placement..", "damsonworks.limits..", "damsonworks.routes..", "damsonworks.lifecycle..",
        "damsonworks.nginx..", "damsonworks.knowledge..", "damsonworks.siblings..", "damsonworks.membership..", "damsonworks.connections..",
        "damsonworks.model..", "damsonworks.rig.plan..", "damsonworks.rig.check..",
        "damsonworks.lease..", "damsonworks.peers..", "damsonworks.trials..", "damsonworks.quota..", "damsonworks.invariant.."};
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("damsonworks");

    @Test
    void decisionsKnowNoSocketsFilesOrThreads() {
        String[] outside = {"io.netty..", "java.net..", "java.nio.file..", "java.io..", "java.util.concurrent..",
            "com.google.gson..", "org.tomlj..", "picocli..", "damsonworks.proxy..", "damsonworks.daemon..",
            "damsonworks.config..", "damsonworks.cli..", "damsonworks.standin..", "damsonworks.wire..", "damsonworks.bench.."};
        noClasses().that().resideInAnyPackage(DECISIONS).should().dependOnClassesThat().resideInAnyPackage(outside)
                .check(ALL);
        noClasses().that().haveSimpleName("Policy").or().haveSimpleName("Carp").or().haveSimpleName("RoutingApi")
                .should().dependOnClassesThat().resideInAnyPackage(outside).check(ALL);
    }

    @Test
    void decisionsReadNoClockAndDrawNoChance() {
        noClasses().that().resideInAnyPackage(DECISIONS).or().haveSimpleNameStartingWith("Policy")
                .should().callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
                .orShould().callMethod(Math.class, "random").orShould().dependOnClassesThat()
                .resideInAnyPackage("java.time..").check(ALL);
    }

    @Test
    void socketsKnowNothingOfWhatStandsAboveThem() {
        noClasses().that().resideInAPackage("damsonworks.proxy..").should().dependOnClassesThat().resideInAnyPackage(
                "damsonworks.daemon..", "damsonworks.cli..", "damsonworks.standin..", "damsonworks.routes..",
                "damsonworks.bench..", "damsonworks.rig..").check(ALL);
        noClasses().that().resideInAPackage("damsonworks.daemon..").should().dependOnClassesThat().resideInAnyPackage(
                "damsonworks.cli..", "damsonworks.standin..", "damsonworks.bench..", "damsonworks.rig..").check(ALL);
        noClasses().that().resideInAPackage("damsonworks.config..").should().dependOnClassesThat().resideInAnyPackage(
                "damsonworks.proxy..", "damsonworks.daemon..", "damsonworks.cli..").check(ALL);
    }

    @Test
    void nginxIsKnownToTheCommandLineAndItsModelAloneAndTheModelKnowsNothingOfTheImporter() {
        noClasses().that().resideOutsideOfPackages("damsonworks.nginx..", "damsonworks.cli..", "damsonworks.standin..",
                "damsonworks.bench..").should().dependOnClassesThat().resideInAPackage("damsonworks.nginx..").check(ALL);
        noClasses().that().haveSimpleNameStartingWith("NginxModel").or().haveSimpleNameStartingWith("StandInNginx").should()
                .dependOnClassesThat().resideInAnyPackage("damsonworks.nginx.model..", "damsonworks.nginx.importer..",
                "damsonworks.placement..", "damsonworks.routes..", "damsonworks.config..").check(ALL);
        noClasses().that().resideInAPackage("damsonworks.nginx").should().dependOnClassesThat().resideInAnyPackage(
                "damsonworks.nginx.model..", "damsonworks.nginx.importer..", "damsonworks.routes..",
                "damsonworks.placement..").check(ALL);
        noClasses().that().resideInAPackage("damsonworks.nginx.model").should().dependOnClassesThat().resideInAnyPackage(
                "damsonworks.nginx.importer..", "damsonworks.routes..", "damsonworks.placement..").check(ALL);
    }

    @Test
    void hooksKnowNoSocketsFilesOrThreadsAndWebAssemblyIsKnownToThemAlone() {
        noClasses().that().resideInAPackage("damsonworks.hooks..").should().dependOnClassesThat().resideInAnyPackage("io.netty..",
                "java.net..", "java.nio.file..", "java.util.concurrent..", "damsonworks.proxy..", "damsonworks.daemon..",
                "damsonworks.config..", "damsonworks.cli..").check(ALL);
        noClasses().that().resideOutsideOfPackage("damsonworks.hooks..").should().dependOnClassesThat().resideInAPackage(
                "com.dylibso.chicory..").check(ALL);
    }

    @Test
    void theRigSeesProcessesFromOutsideAlone() {
        noClasses().that().resideInAPackage("damsonworks.rig..").should().dependOnClassesThat().resideInAnyPackage("damsonworks.daemon..",
                "damsonworks.limits..", "damsonworks.routes..", "damsonworks.cli..", "damsonworks.placement..").check(ALL);
        noClasses().that().resideInAnyPackage("damsonworks.rig.plan..", "damsonworks.rig.check..").should().dependOnClassesThat()
                .resideInAPackage("damsonworks.rig").check(ALL);
    }

    @Test
    void theDoorAndTheHandoverKnowNothingOfTheProxy() {
        noClasses().that().resideInAnyPackage("damsonworks.control..", "damsonworks.handover..").should()
                .dependOnClassesThat().resideInAnyPackage("damsonworks.proxy..", "damsonworks.daemon..", "damsonworks.config..",
                "damsonworks.cli..", "damsonworks.standin..", "damsonworks.lifecycle..").check(ALL);
    }

    @Test
    void memoryFilesKnowNothingOfWhoRemembers() {
        noClasses().that().resideInAPackage("damsonworks.memory..").should().dependOnClassesThat().resideInAnyPackage("io.netty..",
                "damsonworks.proxy..", "damsonworks.daemon..", "damsonworks.config..", "damsonworks.cli..").check(ALL);
        noClasses().that().haveSimpleName("MemoryFormat").should().dependOnClassesThat().resideInAnyPackage("java.nio.file..",
                "java.util.concurrent..").check(ALL);
    }

    @Test
    void codecsOfProtocolsBetweenCachesKnowNothingOfOurs() {
        noClasses().that().resideInAnyPackage("damsonworks.icp..", "damsonworks.htcp..").should().dependOnClassesThat().resideInAnyPackage(
                "io.netty.channel..", "java.nio.file..", "java.util.concurrent..", "damsonworks.proxy..", "damsonworks.daemon..",
                "damsonworks.config..", "damsonworks.siblings..", "damsonworks.cli..").check(ALL);
    }

    @Test
    void frontsKnowNoConnectionsToServers() {
        noClasses().that().haveSimpleNameStartingWith("ClientConnection").or().haveSimpleNameStartingWith("OpenMeta")
                .or().haveSimpleNameStartingWith("Listener").should().dependOnClassesThat()
                .haveSimpleNameStartingWith("Upstream").check(ALL);
    }
}
