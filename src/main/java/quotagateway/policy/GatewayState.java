package quotagateway.policy;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.policy.context.DecayingMean;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/** What {@link GatewayPolicy} remembers, without any decision: all of those are in the module. */
public final class GatewayState {

  private GatewayState() {}

  /** The finaliser of SplitMix64: spreads numbers evenly, and alike at every start. */
  static long mix(long number) {
    long z = (number ^ (number >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /** A backend's place in the order of one gateway, which differs from the orders of others. */
  public static long rank(long id, long gateway) {
    return mix(id + (gateway << 32));
  }

  /**
   * Whether a group of backends can be reached: the share of attempts lost there, and the last
   * answer.
   */
  static final class Reach {
    final DecayingMean lost;
    double answeredAt = Double.NEGATIVE_INFINITY;

    Reach(DecayingMean lost) {
      this.lost = lost;
    }
  }

  /**
   * The reach of each zone and cell that a backend with full state is in, by zone name and by
   * group.
   */
  static final class GroupReaches {
    private final Supplier<Reach> maker;
    private final Map<String, Reach> zones = new HashMap<>();
    private final Int2ObjectOpenHashMap<Reach> cells = new Int2ObjectOpenHashMap<>();

    GroupReaches(Supplier<Reach> maker) {
      this.maker = maker;
    }

    Reach zone(String name) {
      return zones.computeIfAbsent(name, missing -> maker.get());
    }

    Reach cell(int group) {
      return cells.computeIfAbsent(group, missing -> maker.get());
    }
  }

  /** One backend as this gateway sees it. */
  static class BackendState {
    final long id;
    String zone;
    int cell;

    /** When it started, as told, and as taken to be. */
    final double toldStart;

    double startedMs;

    /** When a failed connection made it look restarted, unless that is settled. */
    double doubtedAt = Double.NEGATIVE_INFINITY;

    /** Its zone and its cell, shared by their backends. */
    Reach zoneReach;

    Reach cellReach;
    double service = Double.NaN;
    double failing;
    int rests;
    boolean trial;
    double restUntil = Double.NEGATIVE_INFINITY;
    double fullUntil = Double.NEGATIVE_INFINITY;
    double answeredAt;

    /** When the latest of the answered attempts was sent. */
    double answeredSentAt = Double.NEGATIVE_INFINITY;

    /** Requests held as last reported, of them from here, and when. */
    double reported = Double.NaN;

    double reportedOwn;
    double reportedAt;
    double coldTokens;
    double coldAt;

    BackendState(long id, double startedMs, double now) {
      this.id = id;
      this.startedMs = startedMs;
      toldStart = startedMs;
      answeredAt = now;
      coldAt = now;
    }

    /** Takes its zone and cell as the index has them. */
    final void join(EndpointIndex index, int slot, GroupReaches reaches) {
      int group = index.group(slot);
      zone = index.zone(group);
      cell = index.cell(group);
      zoneReach = reaches.zone(zone);
      cellReach = reaches.cell(group);
    }

    /** The share lost on the way to its zone or to its cell, whichever is more. */
    double nearFailing(double now) {
      return Math.max(zoneReach.lost.decayedValue(now), cellReach.lost.decayedValue(now));
    }

    boolean cold(ServiceRules rules, double now) {
      return startedMs > 0 && now - startedMs < rules.warmUpMs();
    }

    /** The part of its capacity that the rules promise by now. */
    double warmShare(ServiceRules rules, double now) {
      return Math.min(
          1,
          rules.warmUpInitialShare()
              + (1 - rules.warmUpInitialShare()) * (now - startedMs) / rules.warmUpMs());
    }
  }

  /** One request taken and not yet finally answered. */
  static class JobState {
    final RequestReceived request;
    final RequestClass type;

    /** When it came, or the last of its body, if it was taken before. */
    double takenAt;

    double giveUpMs;

    /** Its body is handed on as it comes; and whether it is still coming. */
    final boolean handedOn;

    boolean coming;

    /** Some of such a body has gone, so it cannot be sent again. */
    boolean handed;

    /** By the settings that it was read by. */
    final Capabilities allowed;

    boolean held;
    boolean streaming;
    boolean mayHaveRun;
    boolean abandoned;

    /** Its last attempt found no connection, or one that was dead or out of step. */
    boolean unreached;

    double keyedUntil = Double.POSITIVE_INFINITY;
    int attempts;

    JobState(RequestReceived request, RequestClass type, Capabilities allowed, double now) {
      this.request = request;
      this.allowed = allowed;
      this.type = type;
      this.takenAt = now;
      giveUpMs = request.deadlineAtMs();
      coming = Double.isInfinite(giveUpMs);
      handedOn = coming;
    }

    double aim() {
      return type.latencyObjectiveMs() > 0
          ? type.latencyObjectiveMs()
          : Math.max(1, giveUpMs - takenAt);
    }
  }
}
