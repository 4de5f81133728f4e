package quotagateway.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.policy.GatewayPolicy;
import quotagateway.testing.GatewayProcess;

/** The soak in short, on fixed seeds; deploy/soak.sh plays more of them. */
@Timeout(120)
class SoakTest {

  /** Gateways break a rule under signals, faults of their peers, and clients that leave. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void seededRunKeepsTheRules(long seed) throws Exception {
    SoakRun.Result result = SoakCommand.play(SoakPlan.draw(seed, false), SoakTest::command, null);
    assertEquals(List.of(), result.violations());
    assertFalse(result.isVoid(), () -> "not run: " + result);
  }

  private static List<String> command(Path temporaryFolder) throws IOException {
    String classes =
        GatewayPolicy.class.getProtectionDomain().getCodeSource().getLocation().getPath();
    return GatewayProcess.commandOf(classes, temporaryFolder);
  }
}
