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

/** A short soak on fixed seeds; {@code deploy/soak.sh} runs more of them. */
@Timeout(120)
class SoakTest {

  /**
   * Guards against violations of the service's guarantees under signals, faults of the gateways'
   * peers, and clients that disconnect.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void seededRunHasNoViolations(long seed) throws Exception {
    SoakRun.Result result =
        SoakCommand.runPlan(SoakPlan.draw(seed, false), SoakTest::command, null);
    assertEquals(List.of(), result.violations());
    assertFalse(result.isVoid(), () -> "too many checks are voided: " + result);
  }

  private static List<String> command(Path temporaryFolder) throws IOException {
    String classPath =
        GatewayPolicy.class.getProtectionDomain().getCodeSource().getLocation().getPath();
    return GatewayProcess.commandOf(classPath, temporaryFolder);
  }
}
