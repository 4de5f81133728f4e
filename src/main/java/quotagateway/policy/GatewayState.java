package quotagateway.policy;

import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.retry.RequestAttempts;
import quotagateway.policy.routing.RequestRouting;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.RequestClass;

/** What {@link GatewayPolicy} remembers, without any decision: all of those are in the module. */
public final class GatewayState {

  private GatewayState() {}

  /** One customer as this gateway sees it. */
  static class AccountState {
    final long customer;
    Plan plan;

    /** Through how many gateways its requests may come. */
    final int gateways;

    /** Shift and length of its counts' windows; plain: one burst a window, no bucket followed. */
    double phase;

    double windowMs;
    boolean plain;

    /** Units in the bucket as estimated, and when. */
    double level;

    double levelAt;

    /** Spending of others taken for granted since the last answer. */
    double assumed;

    /**
     * Units a second of the others and of this gateway, and this gateway's units since the last
     * answer.
     */
    double othersRate;

    double ownRate;
    double ownSince;
    double syncedAt = Double.NaN;

    /**
     * Units to go with the next add, that an unanswered call may have added, and in calls under
     * way.
     */
    double owed;

    double maybe;
    double flying;

    /** The window last answered for, and its total then. */
    long window = Long.MIN_VALUE;

    double seen;

    /** The ceiling: what counted sends may use together, and this gateway's own part. */
    double counted;

    double own;

    /** What this gateway may send on unasked: units, and open requests. */
    double part;

    double openPart;
    int out;

    AccountState(long customer, Plan plan, int gateways, double now) {
      this.customer = customer;
      this.plan = plan;
      this.gateways = gateways;
      levelAt = now;
    }

    long windowNow(double now) {
      return (long) Math.floor((now + phase) / windowMs);
    }

    double windowStart(double now) {
      return windowNow(now) * windowMs - phase;
    }

    String name(long ofWindow) {
      return Long.toString(customer, 36) + ":" + ofWindow;
    }

    /** The count of its open requests that began in that window. */
    String openName(long ofWindow) {
      return Long.toString(customer, 36) + ":o" + ofWindow;
    }
  }

  /** One request taken and not yet finally answered. */
  static class JobState {
    final RequestReceived request;
    final RequestClass type;

    /** When it came, or the last of its body, if it was taken before. */
    double takenAt;

    double giveUpMs;

    /** Its body goes to the backend while it comes, and is still coming. */
    boolean coming;

    /** By the settings that it was read by. */
    final Capabilities allowed;

    /**
     * Waits for the counter; its call is unanswered; its units are, or may be, in the shared count.
     */
    boolean waiting;

    boolean called;
    boolean added;

    /** The total is being read a second time. */
    boolean reread;

    /** Units that its call adds. */
    double asked;

    boolean inQuota;

    /**
     * The count in which it has, or may have, a place among its customer's open requests, or null.
     */
    String place;

    /** Waits for that place; its call is unanswered; no attempt will follow. */
    boolean claiming;

    boolean claimed;
    boolean ended;
    boolean held;

    final RequestAttempts attempts;
    final RequestRouting routing;

    JobState(RequestReceived request, RequestClass type, Capabilities allowed, double now) {
      this.request = request;
      this.allowed = allowed;
      this.type = type;
      this.takenAt = now;
      giveUpMs = request.deadlineAtMs();
      coming = Double.isInfinite(giveUpMs);
      attempts = new RequestAttempts(type, allowed, coming);
      routing = new RequestRouting(type);
    }

    double aim() {
      return type.latencyObjectiveMs() > 0
          ? type.latencyObjectiveMs()
          : Math.max(1, giveUpMs - takenAt);
    }
  }
}
