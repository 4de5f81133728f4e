package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;

/** Tests which backend is selected for a request. */
class EndpointSelectorTest {

  private static final int ROUNDS = 200;

  private RoutingFixture fixture = RoutingFixture.of(2, 4);

  private BackendStatus select(RequestRouting request) {
    return fixture.selector.select(request, RoutingFixture.LATENCY_OBJECTIVE_MS);
  }

  private Set<Long> selectedIds(RequestRouting request) {
    Set<Long> selectedIds = new HashSet<>();
    for (int i = 0; i < ROUNDS; i++) {
      BackendStatus backend = select(request);
      if (backend != null) {
        selectedIds.add(backend.endpointId());
      }
    }
    return selectedIds;
  }

  private void eject(long... ids) {
    for (long id : ids) {
      fixture.recordFailures(fixture.backend(id), 3);
    }
  }

  @Test
  void spreadsRequestsOverBackendsOfSameCost() {
    assertEquals(Set.of(0L, 1L, 2L, 3L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  @Test
  void selectsCheapestBackend() {
    for (long id = 0; id < 3; id++) {
      fixture.startAttemptAt(fixture.backend(id));
    }
    assertEquals(Set.of(3L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  @Test
  void returnsNullWithoutBackends() {
    fixture = RoutingFixture.of(2, 0);
    assertNull(select(RoutingFixture.idempotentRequest()));
  }

  @Test
  void skipsEjectedBackendsWhileOthersAreUsable() {
    eject(0, 1, 2);
    assertEquals(Set.of(3L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  // If all backends fail, trying an ejected one is better than serving no request.
  @Test
  void usesEjectedBackendsIfAllAreEjected() {
    eject(0, 1, 2, 3);
    assertEquals(Set.of(0L, 1L, 2L, 3L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  @Test
  void returnsNullIfAllBackendsArePausedAfterRejection() {
    for (long id = 0; id < 4; id++) {
      fixture.outliers.pauseAfterRejection(fixture.backend(id), 100);
    }
    assertNull(select(RoutingFixture.idempotentRequest()));
  }

  @Test
  void skipsWarmingUpBackendWithoutToken() {
    fixture.tracker.assumeStarted(fixture.backend(0), fixture.context.nowMs());
    fixture.backend(0).slowStartTokens = 0;
    assertEquals(Set.of(1L, 2L, 3L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  // Another attempt at the same backend will probably fail too, but one backend is better than
  // none.
  @Test
  void avoidsBackendOfLatestAttemptIfOthersAreUsable() {
    RequestRouting request = RoutingFixture.idempotentRequest();
    request.recordAttempt(fixture.backend(2));
    assertEquals(Set.of(0L, 1L, 3L), selectedIds(request));
    eject(0, 1, 3);
    assertEquals(Set.of(2L), selectedIds(request));
  }

  // A backend of another group does not know the idempotency key and would execute the request
  // again.
  @Test
  void staysInDeduplicationScopeOfBoundBackend() {
    RequestRouting inZone =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE);
    inZone.bindTo(fixture.backend(1));
    inZone.bindTo(fixture.backend(0));
    assertEquals(Set.of(1L, 3L), selectedIds(inZone));
    RequestRouting inCell =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL);
    inCell.bindTo(fixture.backend(1));
    assertEquals(Set.of(1L), selectedIds(inCell));
    RequestRouting anywhere =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL);
    anywhere.bindTo(fixture.backend(1));
    assertEquals(Set.of(0L, 1L, 2L, 3L), selectedIds(anywhere));
  }

  @Test
  void usesEjectedBackendsOfBoundGroupRatherThanOtherGroups() {
    RequestRouting inZone =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE);
    inZone.bindTo(fixture.backend(1));
    eject(1, 3);
    assertEquals(Set.of(1L, 3L), selectedIds(inZone));
    for (long id : new long[] {1, 3}) {
      fixture.outliers.pauseAfterRejection(fixture.backend(id), 100);
    }
    assertNull(select(inZone));
  }

  // If every gateway used all backends of a large fleet, there would be too many connections.
  @Test
  void staysInSubsetUntilNoneOfItIsUsable() {
    fixture = RoutingFixture.of(100, 200);
    int subsetSize = fixture.tracker.subsetSize();
    assertEquals(24, subsetSize);
    Set<Long> subset = new HashSet<>();
    for (int i = 0; i < subsetSize; i++) {
      subset.add(fixture.index.id(fixture.index.ranked().get(i)));
    }
    Set<Long> selectedIds = selectedIds(RoutingFixture.idempotentRequest());
    assertTrue(subset.containsAll(selectedIds), selectedIds + " of " + subset);
    subset.forEach(id -> eject(id));
    Set<Long> outsideSubset = selectedIds(RoutingFixture.idempotentRequest());
    outsideSubset.removeAll(subset);
    assertTrue(outsideSubset.size() > 20, outsideSubset.toString());
  }

  @Test
  void skipsDrainingEndpoint() {
    fixture.tracker.update(
        new EndpointsUpdated(
            EndpointListForm.DELTA,
            List.of(new Endpoint(0, "a", 0, EndpointState.DRAINING, 1, 0))));
    assertEquals(Set.of(1L, 2L, 3L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  // Many gateways that select the same backend from the same load reports would overload it.
  @Test
  void comparesFewerBackendsIfThereAreMoreGateways() {
    fixture = RoutingFixture.of(30, 12);
    int idleBackendMisses = 0;
    for (long id = 1; id < 12; id++) {
      fixture.startAttemptAt(fixture.backend(id));
    }
    for (int i = 0; i < ROUNDS; i++) {
      idleBackendMisses += select(RoutingFixture.idempotentRequest()).endpointId() == 0 ? 0 : 1;
    }
    // Two candidates are drawn from twelve with replacement, so five of six selections miss the
    // idle backend.
    assertTrue(idleBackendMisses > ROUNDS / 2, idleBackendMisses + " of " + ROUNDS);
    fixture = RoutingFixture.of(2, 12);
    for (long id = 1; id < 12; id++) {
      fixture.startAttemptAt(fixture.backend(id));
    }
    assertEquals(Set.of(0L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  // A new snapshot takes effect at once, although missing endpoints are removed in batches.
  @Test
  void skipsUnlistedEndpointBeforeItsRemoval() {
    fixture = RoutingFixture.of(2, 1_000);
    fixture.tracker.update(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, List.of(RoutingFixture.endpoint(999, 0))));
    assertTrue(fixture.index.serving().size() > 1);
    Set<Long> selectedIds = selectedIds(RoutingFixture.idempotentRequest());
    selectedIds.remove(999L);
    assertEquals(Set.of(), selectedIds);
  }

  // With a single candidate, the backend would be selected at random, however busy it is.
  @Test
  void comparesAtLeastTwoBackendsWithManyGateways() {
    fixture = RoutingFixture.of(1_000, 2);
    fixture.startAttemptAt(fixture.backend(0));
    assertEquals(Set.of(1L), selectedIds(RoutingFixture.idempotentRequest()));
  }

  // A draw that yields an unusable backend is repeated, with up to three draws for each candidate.
  @Test
  void drawsAgainIfDrawnBackendIsUnusable() {
    fixture = RoutingFixture.of(1_000, 12);
    for (long id = 0; id < 9; id++) {
      fixture.outliers.pauseAfterRejection(fixture.backend(id), 100);
    }
    int selections = 0;
    for (int i = 0; i < ROUNDS; i++) {
      selections += select(RoutingFixture.idempotentRequest()) == null ? 0 : 1;
    }
    // Eighteen draws in three passes miss all three usable backends in one of 180 cases; six draws
    // would miss them in one of 6.
    assertTrue(selections > 0.95 * ROUNDS, selections + " of " + ROUNDS);
  }

  // With one or two gateways, fifteen candidates are compared: all backends if there are no more
  // than fifteen.
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void comparesUpToFifteenBackendsWithOneOrTwoGateways(int gatewayCount) {
    assertEquals(0, countIdleBackendMisses(gatewayCount, 15));
    assertTrue(countIdleBackendMisses(gatewayCount, 16) > 0);
  }

  private int countIdleBackendMisses(int gatewayCount, int backendCount) {
    fixture = RoutingFixture.of(gatewayCount, backendCount);
    for (long id = 1; id < backendCount; id++) {
      fixture.startAttemptAt(fixture.backend(id));
    }
    int missed = 0;
    for (int i = 0; i < ROUNDS; i++) {
      missed += select(RoutingFixture.idempotentRequest()).endpointId() == 0 ? 0 : 1;
    }
    return missed;
  }
}
