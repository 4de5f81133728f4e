package quotagateway.architecture;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * The packages depend on those of lower layers only, as docs/ARCHITECTURE.md shows them. A rule
 * that is broken once is broken for good: the next class finds its way through the same hole. As
 * packages of one layer do not see each other, no package depends on itself through others.
 */
class LayeringTest {

  private static final String ROOT = "quotagateway.";

  /** From the top down; packages of one line do not see each other. */
  private static final List<List<String>> LAYERS =
      List.of(
          List.of("server", "simulator"),
          List.of("admin"),
          List.of("client"),
          List.of("driver"),
          List.of("backend"),
          List.of("counter", "discovery"),
          List.of("config"),
          List.of("lifecycle"),
          List.of("transport"),
          List.of("policy"),
          List.of("policy.admission", "policy.quota", "policy.retry", "policy.routing"),
          List.of("policy.context"),
          List.of("policy.event"),
          List.of("policy.action", "policy.settings"),
          List.of("endpoint"));

  /** Dependencies that break the layering today, by class; there should be none. */
  private static final Set<String> KNOWN_VIOLATIONS = Set.of();

  private static JavaClasses program;

  @BeforeAll
  static void importProgram() {
    program =
        new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("quotagateway");
  }

  @Test
  void packagesDependOnLowerLayersOnly() {
    Set<String> violations = new TreeSet<>();
    for (JavaClass origin : program) {
      for (Dependency dependency : origin.getDirectDependenciesFromSelf()) {
        String target = dependency.getTargetClass().getPackageName();
        if (target.startsWith(ROOT) && !mayDependOn(origin.getPackageName(), target)) {
          violations.add(
              origin.getSimpleName() + " -> " + dependency.getTargetClass().getSimpleName());
        }
      }
    }
    assertEquals(new TreeSet<>(KNOWN_VIOLATIONS), violations);
  }

  @Test
  void everyPackageHasALayer() {
    for (JavaClass one : program) {
      String name = one.getPackageName();
      assertTrue(name.equals("quotagateway") || layerOf(name) >= 0, "no layer for " + name);
    }
  }

  /** Decisions are played on the simulator, with its time and without sockets. */
  @Test
  void decisionsSeeNoSocketsNoJsonAndNoSystemClock() {
    ArchRuleDefinition.noClasses()
        .that(resideInAnyPackage(ROOT + "policy..", ROOT + "endpoint.."))
        .should()
        .dependOnClassesThat(
            resideInAnyPackage(
                "io.netty..", "com.fasterxml..", "java.net..", "java.nio..", "java.time.."))
        .check(program);
    ArchRuleDefinition.noClasses()
        .that(resideInAnyPackage(ROOT + "policy..", ROOT + "endpoint.."))
        .should()
        .callMethodWhere(
            DescribedPredicate.describe(
                "reads the system clock",
                call ->
                    call.getTargetOwner().isEquivalentTo(System.class)
                        && Set.of("nanoTime", "currentTimeMillis").contains(call.getName())))
        .check(program);
  }

  private static boolean mayDependOn(String from, String to) {
    return from.equals("quotagateway") || from.equals(to) || layerOf(from) < layerOf(to);
  }

  /** The line that a package is in, from 0 at the top, or -1. */
  private static int layerOf(String packageName) {
    String name = packageName.substring(Math.min(packageName.length(), ROOT.length()));
    for (int line = 0; line < LAYERS.size(); line++) {
      if (LAYERS.get(line).contains(name)) {
        return line;
      }
    }
    return -1;
  }
}
