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

/** Which backend a request gets, of those that are drawn. */
class EndpointSelectorTest {

  private static final int ROUNDS = 200;

  private RoutingFixture fixture = RoutingFixture.of(2, 4);

  private BackendStatus select(RequestRouting request) {
    return fixture.selector.select(request, RoutingFixture.OBJECTIVE_MS);
  }

  private Set<Long> selected(RequestRouting request) {
    Set<Long> selected = new HashSet<>();
    for (int i = 0; i < ROUNDS; i++) {
      BackendStatus backend = select(request);
      if (backend != null) {
        selected.add(backend.endpointId());
      }
    }
    return selected;
  }

  private void eject(long... ids) {
    for (long id : ids) {
      fixture.fail(fixture.backend(id), 3);
    }
  }

  @Test
  void spreadsRequestsOverBackendsOfTheSameCost() {
    assertEquals(Set.of(0L, 1L, 2L, 3L), selected(RoutingFixture.idempotentRequest()));
  }

  @Test
  void prefersTheCheaperBackend() {
    for (long id = 0; id < 3; id++) {
      fixture.attemptAt(fixture.backend(id));
    }
    assertEquals(Set.of(3L), selected(RoutingFixture.idempotentRequest()));
  }

  @Test
  void selectsNothingWithoutBackends() {
    fixture = RoutingFixture.of(2, 0);
    assertNull(select(RoutingFixture.idempotentRequest()));
  }

  @Test
  void avoidsEjectedBackends() {
    eject(0, 1, 2);
    assertEquals(Set.of(3L), selected(RoutingFixture.idempotentRequest()));
  }

  // A fault that all backends show is no reason to serve nobody: there is no better choice.
  @Test
  void passesOverEjectionsWhereAllAreEjected() {
    eject(0, 1, 2, 3);
    assertEquals(Set.of(0L, 1L, 2L, 3L), selected(RoutingFixture.idempotentRequest()));
  }

  @Test
  void sendsNothingToABackendThatRejectsEvenWhereAllDo() {
    for (long id = 0; id < 4; id++) {
      fixture.outliers.pauseAfterRejection(fixture.backend(id), 100);
    }
    assertNull(select(RoutingFixture.idempotentRequest()));
  }

  @Test
  void sendsNothingToABackendThatWarmsUpAndHasNoToken() {
    fixture.tracker.assumeStarted(fixture.backend(0), fixture.context.nowMs());
    fixture.backend(0).slowStartTokens = 0;
    assertEquals(Set.of(1L, 2L, 3L), selected(RoutingFixture.idempotentRequest()));
  }

  // Where an attempt failed, the next one most likely fails too; but one backend is better than
  // none.
  @Test
  void goesElsewhereAfterAFailedAttemptIfItCan() {
    RequestRouting request = RoutingFixture.idempotentRequest();
    request.attemptStarted(fixture.backend(2));
    assertEquals(Set.of(0L, 1L, 3L), selected(request));
    eject(0, 1, 3);
    assertEquals(Set.of(2L), selected(request));
  }

  // A backend elsewhere does not know the idempotency key, and would execute the request again.
  @Test
  void staysInTheGroupThatDeduplicates() {
    RequestRouting inZone =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE);
    inZone.bindTo(fixture.backend(1));
    inZone.bindTo(fixture.backend(0));
    assertEquals(Set.of(1L, 3L), selected(inZone));
    RequestRouting inCell =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL);
    inCell.bindTo(fixture.backend(1));
    assertEquals(Set.of(1L), selected(inCell));
    RequestRouting anywhere =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL);
    anywhere.bindTo(fixture.backend(1));
    assertEquals(Set.of(0L, 1L, 2L, 3L), selected(anywhere));
  }

  @Test
  void passesOverEjectionsInTheGroupBeforeItLeavesIt() {
    RequestRouting inZone =
        RoutingFixture.request(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE);
    inZone.bindTo(fixture.backend(1));
    eject(1, 3);
    assertEquals(Set.of(1L, 3L), selected(inZone));
    for (long id : new long[] {1, 3}) {
      fixture.outliers.pauseAfterRejection(fixture.backend(id), 100);
    }
    assertNull(select(inZone));
  }

  // Connections to all of a large fleet from all gateways would be too many.
  @Test
  void keepsToItsSubsetUntilNoneOfItCanBeUsed() {
    fixture = RoutingFixture.of(100, 200);
    int subsetSize = fixture.tracker.subsetSize();
    assertEquals(24, subsetSize);
    Set<Long> subset = new HashSet<>();
    for (int i = 0; i < subsetSize; i++) {
      subset.add(fixture.index.id(fixture.index.ranked().get(i)));
    }
    Set<Long> selected = selected(RoutingFixture.idempotentRequest());
    assertTrue(subset.containsAll(selected), selected + " of " + subset);
    subset.forEach(id -> eject(id));
    Set<Long> elsewhere = selected(RoutingFixture.idempotentRequest());
    elsewhere.removeAll(subset);
    assertTrue(elsewhere.size() > 20, elsewhere.toString());
  }

  @Test
  void sendsNothingToAnEndpointThatDrains() {
    fixture.tracker.update(
        new EndpointsUpdated(
            EndpointListForm.DELTA,
            List.of(new Endpoint(0, "a", 0, EndpointState.DRAINING, 1, 0))));
    assertEquals(Set.of(1L, 2L, 3L), selected(RoutingFixture.idempotentRequest()));
  }

  // Many gateways that find the same best backend in the same reports overload it together.
  @Test
  void comparesFewerBackendsTheMoreGatewaysThereAre() {
    fixture = RoutingFixture.of(30, 12);
    int notTheBest = 0;
    for (long id = 1; id < 12; id++) {
      fixture.attemptAt(fixture.backend(id));
    }
    for (int i = 0; i < ROUNDS; i++) {
      notTheBest += select(RoutingFixture.idempotentRequest()).endpointId() == 0 ? 0 : 1;
    }
    // Two of twelve are drawn, perhaps the same one twice: the idle one is missed in five of six.
    assertTrue(notTheBest > ROUNDS / 2, notTheBest + " of " + ROUNDS);
    fixture = RoutingFixture.of(2, 12);
    for (long id = 1; id < 12; id++) {
      fixture.attemptAt(fixture.backend(id));
    }
    assertEquals(Set.of(0L), selected(RoutingFixture.idempotentRequest()));
  }

  // The snapshot that no longer names them is known at once, though they are removed in slices.
  @Test
  void sendsNothingToAnEndpointThatLeftButIsNotRemovedYet() {
    fixture = RoutingFixture.of(2, 1_000);
    fixture.tracker.update(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, List.of(RoutingFixture.endpoint(999, 0))));
    assertTrue(fixture.index.serving().size() > 1);
    Set<Long> selected = selected(RoutingFixture.idempotentRequest());
    selected.remove(999L);
    assertEquals(Set.of(), selected);
  }

  // With a single candidate a backend would be chosen at random, however busy it is.
  @Test
  void comparesTwoBackendsHoweverManyGatewaysThereAre() {
    fixture = RoutingFixture.of(1_000, 2);
    fixture.attemptAt(fixture.backend(0));
    assertEquals(Set.of(1L), selected(RoutingFixture.idempotentRequest()));
  }

  // A draw that finds a backend that cannot be used is made again, up to three for each candidate.
  @Test
  void drawsAgainForBackendsThatCannotBeUsed() {
    fixture = RoutingFixture.of(1_000, 12);
    for (long id = 0; id < 9; id++) {
      fixture.outliers.pauseAfterRejection(fixture.backend(id), 100);
    }
    int served = 0;
    for (int i = 0; i < ROUNDS; i++) {
      served += select(RoutingFixture.idempotentRequest()) == null ? 0 : 1;
    }
    // Eighteen draws in three passes find none of the three in one of 180 cases, six in one of 6.
    assertTrue(served > 0.95 * ROUNDS, served + " of " + ROUNDS);
  }

  // One gateway or two compare fifteen backends: no more are drawn, and of fewer all are compared.
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void comparesAllBackendsUpToFifteenWhereThereAreFewGateways(int gatewayCount) {
    assertEquals(0, timesTheIdleBackendIsMissed(gatewayCount, 15));
    assertTrue(timesTheIdleBackendIsMissed(gatewayCount, 16) > 0);
  }

  private int timesTheIdleBackendIsMissed(int gatewayCount, int backendCount) {
    fixture = RoutingFixture.of(gatewayCount, backendCount);
    for (long id = 1; id < backendCount; id++) {
      fixture.attemptAt(fixture.backend(id));
    }
    int missed = 0;
    for (int i = 0; i < ROUNDS; i++) {
      missed += select(RoutingFixture.idempotentRequest()).endpointId() == 0 ? 0 : 1;
    }
    return missed;
  }
}
