package quotagateway.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.testing.WireFormats;

/**
 * Measures the share of a core that decoding and applying endpoint list changes uses at the
 * target's list length, by the rate of changes. Each change is sent either in a separate message,
 * or in one message per second with all changes of that second.
 */
final class ChangeSweep implements Sweep {

  private static final int BACKENDS = 200_000;
  private static final int QUICK_BACKENDS = 2_000;
  private static final double MAX_SIMULATED_SECONDS = 300;
  private static final int MAX_MESSAGES = 60;

  @Override
  public String name() {
    return "changes";
  }

  @Override
  public void run(Plan plan, Report report) {
    report.budget("each_alone_core_share", 0.024);
    report.budget("batched_core_share", 0.024);
    report.budget("each_alone_bytes_per_s", 19_000);
    int size = plan.quick() ? QUICK_BACKENDS : BACKENDS;
    EndpointListModel model = new EndpointListModel(size, 7070, plan.seed());
    GatewayPolicy policy = new GatewayPolicy(ScaleSettings.of(2_000, 0), plan.seed());
    policy.start(0);
    policy.on(1, new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, model.entries()));
    applyAll(policy, messages(model, 20, 1));
    double[] rates =
        plan.quick() ? new double[] {1, 10} : new double[] {0.1, 0.3, 1, 3, 10, 30, 100};
    for (double rate : rates) {
      Measurement.Subject subject = plan.subject(this, "changes a second");
      int messageCount = (int) Math.ceil(Math.min(MAX_MESSAGES, rate * MAX_SIMULATED_SECONDS));
      List<byte[]> unbatched = messages(model, messageCount, 1);
      report.add(
          Measurement.of(
              subject,
              rate,
              "each_alone_core_share",
              coreShares(policy, unbatched, 1 / rate, plan.secondsEach() / 2)));
      int perMessage = Math.max(1, (int) rate);
      double batchSeconds = Math.max(1, 1 / rate);
      List<byte[]> batched = messages(model, Math.min(MAX_MESSAGES, messageCount), perMessage);
      report.add(
          Measurement.of(
              subject,
              rate,
              "batched_core_share",
              coreShares(policy, batched, batchSeconds, plan.secondsEach() / 2)));
      report.add(
          Measurement.of(subject, rate, "each_alone_bytes_per_s", rate * meanLength(unbatched)));
      report.add(
          Measurement.of(subject, rate, "batched_bytes_per_s", meanLength(batched) / batchSeconds));
    }
    report.print(name());
  }

  private static List<byte[]> messages(EndpointListModel model, int count, int changesEach) {
    List<EndpointListModel.Change> changes = new ArrayList<>();
    while (changes.size() < count * changesEach) {
      changes.addAll(model.replaceRandomBackend(1 + changes.size()));
    }
    List<byte[]> messages = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String text = model.deltaMessage(changes.subList(i * changesEach, (i + 1) * changesEach));
      messages.add(text.getBytes(StandardCharsets.UTF_8));
    }
    return messages;
  }

  private static double meanLength(List<byte[]> messages) {
    return messages.stream().mapToInt(message -> message.length).average().orElse(0);
  }

  private static void applyAll(GatewayPolicy policy, List<byte[]> messages) {
    messages.forEach(message -> apply(policy, message));
  }

  private static void apply(GatewayPolicy policy, byte[] message) {
    try {
      policy.on(2, WireFormats.readEndpointList(message));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns for each message its processor time divided by the interval between messages. */
  private static double[] coreShares(
      GatewayPolicy policy, List<byte[]> messages, double intervalSeconds, double seconds) {
    int[] nextIndex = new int[1];
    double[] times =
        Stopwatch.repeat(
            messages.size(), seconds, () -> apply(policy, messages.get(nextIndex[0]++)));
    for (int i = 0; i < times.length; i++) {
      times[i] /= 1000 * intervalSeconds;
    }
    return times;
  }
}
