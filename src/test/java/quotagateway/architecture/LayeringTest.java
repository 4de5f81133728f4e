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
 * Checks that packages depend on packages of lower layers only, as docs/ARCHITECTURE.md shows them.
 * A single violation makes further ones likely, as later classes can follow the same path. As
 * packages of the same layer don't depend on each other, there are no cycles between packages.
 */
class LayeringTest {

  private static final String ROOT = "quotagateway.";

  /** The layers from top to bottom; packages of one layer must not depend on each other. */
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

  /** Known dependencies that violate the layering, by class; there should be none. */
  private static final Set<String> KNOWN_VIOLATIONS = Set.of();

  private static JavaClasses classes;

  @BeforeAll
  static void importClasses() {
    classes =
        new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("quotagateway");
  }

  @Test
  void packagesDependOnLowerLayersOnly() {
    Set<String> violations = new TreeSet<>();
    for (JavaClass origin : classes) {
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
  void everyPackageBelongsToALayer() {
    for (JavaClass javaClass : classes) {
      String name = javaClass.getPackageName();
      assertTrue(
          name.equals("quotagateway") || layerOf(name) >= 0, "package without a layer: " + name);
    }
  }

  /** The decision code also runs on the simulator, which has its own clock and no sockets. */
  @Test
  void decisionCodeDoesNotUseSocketsJsonOrSystemClock() {
    ArchRuleDefinition.noClasses()
        .that(resideInAnyPackage(ROOT + "policy..", ROOT + "endpoint.."))
        .should()
        .dependOnClassesThat(
            resideInAnyPackage(
                "io.netty..", "com.fasterxml..", "java.net..", "java.nio..", "java.time.."))
        .check(classes);
    ArchRuleDefinition.noClasses()
        .that(resideInAnyPackage(ROOT + "policy..", ROOT + "endpoint.."))
        .should()
        .callMethodWhere(
            DescribedPredicate.describe(
                "reads the system clock",
                call ->
                    call.getTargetOwner().isEquivalentTo(System.class)
                        && Set.of("nanoTime", "currentTimeMillis").contains(call.getName())))
        .check(classes);
  }

  private static boolean mayDependOn(String from, String to) {
    return from.equals("quotagateway") || from.equals(to) || layerOf(from) < layerOf(to);
  }

  /** Returns the index of a package's layer, from 0 at the top, or -1 if it has none. */
  private static int layerOf(String packageName) {
    String name = packageName.substring(Math.min(packageName.length(), ROOT.length()));
    for (int layer = 0; layer < LAYERS.size(); layer++) {
      if (LAYERS.get(layer).contains(name)) {
        return layer;
      }
    }
    return -1;
  }
}
