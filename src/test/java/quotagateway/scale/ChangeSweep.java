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
 * Changes a second at the target's length of the list: the share of a core that reading and taking
 * them uses, each in a message of its own, and one message a second with all of that second's
 * changes.
 */
final class ChangeSweep implements Sweep {

  private static final int BACKENDS = 200_000;
  private static final int QUICK_BACKENDS = 2_000;
  private static final double MAX_SECONDS = 300;
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
    taken(policy, messages(model, 20, 1));
    double[] rates =
        plan.quick() ? new double[] {1, 10} : new double[] {0.1, 0.3, 1, 3, 10, 30, 100};
    for (double rate : rates) {
      Measurement.Subject subject = plan.subject(this, "changes a second");
      int alone = (int) Math.ceil(Math.min(MAX_MESSAGES, rate * MAX_SECONDS));
      List<byte[]> each = messages(model, alone, 1);
      report.add(
          Measurement.of(
              subject,
              rate,
              "each_alone_core_share",
              shares(policy, each, 1 / rate, plan.secondsEach() / 2)));
      int perMessage = Math.max(1, (int) rate);
      double secondsEach = Math.max(1, 1 / rate);
      List<byte[]> batched = messages(model, Math.min(MAX_MESSAGES, alone), perMessage);
      report.add(
          Measurement.of(
              subject,
              rate,
              "batched_core_share",
              shares(policy, batched, secondsEach, plan.secondsEach() / 2)));
      report.add(Measurement.of(subject, rate, "each_alone_bytes_per_s", rate * meanLength(each)));
      report.add(
          Measurement.of(subject, rate, "batched_bytes_per_s", meanLength(batched) / secondsEach));
    }
    report.print(name());
  }

  private static List<byte[]> messages(EndpointListModel model, int number, int changesEach) {
    List<EndpointListModel.Change> changes = new ArrayList<>();
    while (changes.size() < number * changesEach) {
      changes.addAll(model.replaceOne(1 + changes.size()));
    }
    List<byte[]> messages = new ArrayList<>();
    for (int i = 0; i < number; i++) {
      String text = model.changeMessage(changes.subList(i * changesEach, (i + 1) * changesEach));
      messages.add(text.getBytes(StandardCharsets.UTF_8));
    }
    return messages;
  }

  private static double meanLength(List<byte[]> messages) {
    return messages.stream().mapToInt(m -> m.length).average().orElse(0);
  }

  private static void taken(GatewayPolicy policy, List<byte[]> messages) {
    messages.forEach(m -> take(policy, m));
  }

  private static void take(GatewayPolicy policy, byte[] message) {
    try {
      policy.on(2, WireFormats.readEndpointList(message));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Processor time of each message, over the time until the next one comes. */
  private static double[] shares(
      GatewayPolicy policy, List<byte[]> messages, double apartSeconds, double seconds) {
    int[] next = new int[1];
    double[] times =
        Stopwatch.repeat(messages.size(), seconds, () -> take(policy, messages.get(next[0]++)));
    for (int i = 0; i < times.length; i++) {
      times[i] /= 1000 * apartSeconds;
    }
    return times;
  }
}
