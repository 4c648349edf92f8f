package cacheproxy;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Tests that dependencies have one direction: from the command line to listeners and sockets, from those to the
 * decision packages, and from those to PolicyApi.
 */
class ArchitectureTest {
    /** Packages that use no I/O, no clock and no randomness of their own. */
    private static final String[] DECISION_PACKAGES = {
        "cacheproxy.placement..",
        "cacheproxy.limits..",
        "cacheproxy.routes..",
        "cacheproxy.lifecycle..",
        "cacheproxy.nginx..",
        "cacheproxy.snapshot.state..",
        "cacheproxy.siblings..",
        "cacheproxy.fleet.membership..",
        "cacheproxy.discovery..",
        "cacheproxy.simulation..",
        "cacheproxy.faulttest.scenario..",
        "cacheproxy.faulttest.check..",
        "cacheproxy.fleet.lease..",
        "cacheproxy.fleet.peer..",
        "cacheproxy.fleet.healthcheck..",
        "cacheproxy.fleet.quota..",
        "cacheproxy.invariant.."
    };

    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("cacheproxy");

    @Test
    void decisionsDoNotDependOnSocketsFilesOrThreads() {
        String[] ioPackages = {
            "io.netty..",
            "java.net..",
            "java.nio.file..",
            "java.io..",
            "java.util.concurrent..",
            "com.google.gson..",
            "org.tomlj..",
            "picocli..",
            "cacheproxy.proxy..",
            "cacheproxy.daemon..",
            "cacheproxy.config..",
            "cacheproxy.cli..",
            "cacheproxy.fakes..",
            "cacheproxy.simulator..",
            "cacheproxy.bench.."
        };
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(ioPackages)
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(ioPackages)
                .check(ALL);
    }

    @Test
    void decisionsUseNoClockAndNoUnseededRandomness() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .or()
                .resideInAPackage("cacheproxy.policy..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("java.time..")
                .check(ALL);
    }

    @Test
    void proxyDoesNotDependOnTheLayersAboveIt() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.proxy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.daemon..",
                        "cacheproxy.cli..",
                        "cacheproxy.fakes..",
                        "cacheproxy.routes..",
                        "cacheproxy.bench..",
                        "cacheproxy.faulttest..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.cli..", "cacheproxy.fakes..", "cacheproxy.bench..", "cacheproxy.faulttest..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.config..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("cacheproxy.proxy..", "cacheproxy.daemon..", "cacheproxy.cli..")
                .check(ALL);
    }

    @Test
    void nginxIsUsedOnlyByTheCommandLineAndItsModelAndTheModelDoesNotDependOnTheImporter() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "cacheproxy.nginx..", "cacheproxy.cli..", "cacheproxy.fakes..", "cacheproxy.bench..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("cacheproxy.nginx..")
                .check(ALL);
        noClasses()
                .that()
                .haveSimpleNameStartingWith("NginxReferenceModel")
                .or()
                .haveSimpleNameStartingWith("FakeNginx")
                .or()
                .resideInAPackage("cacheproxy.fakes.nginx..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.nginx.model..",
                        "cacheproxy.nginx.importer..",
                        "cacheproxy.placement..",
                        "cacheproxy.routes..",
                        "cacheproxy.config..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.nginx")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.nginx.model..",
                        "cacheproxy.nginx.importer..",
                        "cacheproxy.routes..",
                        "cacheproxy.placement..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.nginx.model")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("cacheproxy.nginx.importer..", "cacheproxy.routes..", "cacheproxy.placement..")
                .check(ALL);
    }

    @Test
    void hooksDoNotDependOnSocketsFilesOrThreadsAndOnlyTheyUseWebAssembly() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.hooks..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "cacheproxy.proxy..",
                        "cacheproxy.daemon..",
                        "cacheproxy.config..",
                        "cacheproxy.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("cacheproxy.hooks..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("com.dylibso.chicory..")
                .check(ALL);
    }

    @Test
    void faultTestsSeeProcessesOnlyFromOutside() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.faulttest..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.daemon..",
                        "cacheproxy.limits..",
                        "cacheproxy.routes..",
                        "cacheproxy.cli..",
                        "cacheproxy.placement..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage("cacheproxy.faulttest.scenario..", "cacheproxy.faulttest.check..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("cacheproxy.faulttest")
                .check(ALL);
    }

    @Test
    void controlAndHandoverDoNotDependOnTheProxy() {
        noClasses()
                .that()
                .resideInAnyPackage("cacheproxy.control..", "cacheproxy.handover..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.proxy..",
                        "cacheproxy.daemon..",
                        "cacheproxy.config..",
                        "cacheproxy.cli..",
                        "cacheproxy.fakes..",
                        "cacheproxy.lifecycle..")
                .check(ALL);
    }

    @Test
    void snapshotsDoNotDependOnTheirUsers() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.snapshot..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "cacheproxy.proxy..",
                        "cacheproxy.daemon..",
                        "cacheproxy.config..",
                        "cacheproxy.cli..")
                .check(ALL);
        noClasses()
                .that()
                .haveSimpleName("SnapshotCodec")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.nio.file..", "java.util.concurrent..")
                .check(ALL);
    }

    @Test
    void icpAndHtcpCodecsDoNotDependOnTheProxy() {
        noClasses()
                .that()
                .resideInAnyPackage("cacheproxy.icp..", "cacheproxy.htcp..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty.channel..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "cacheproxy.proxy..",
                        "cacheproxy.daemon..",
                        "cacheproxy.config..",
                        "cacheproxy.siblings..",
                        "cacheproxy.cli..")
                .check(ALL);
    }

    @Test
    void clientSideDoesNotDependOnUpstreams() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.proxy.client..")
                .should()
                .dependOnClassesThat()
                .haveSimpleNameStartingWith("Upstream")
                .check(ALL);
    }

    @Test
    void requestsDoNotDependOnListenersServersOrProcess() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.proxy.request..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.proxy.client..",
                        "cacheproxy.proxy.upstream..",
                        "cacheproxy.proxy.dispatch..",
                        "cacheproxy.proxy.discovery..",
                        "cacheproxy.proxy.process..",
                        "cacheproxy.proxy.net..")
                .check(ALL);
    }

    @Test
    void clientSideDoesNotDependOnDispatchDiscoveryOrProcess() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.proxy.client..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.proxy.dispatch..", "cacheproxy.proxy.discovery..", "cacheproxy.proxy.process..")
                .check(ALL);
    }

    @Test
    void discoveryDoesNotDependOnClientsDispatchOrProcess() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.proxy.discovery..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.proxy.client..", "cacheproxy.proxy.dispatch..", "cacheproxy.proxy.process..")
                .check(ALL);
    }
}
