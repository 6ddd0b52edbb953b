package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.NodeMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which node may take over the lease on the control of the groups, and when.
 */
class GroupLeaseManagerTests {

	private static final GroupLeaseManager.StoreStatus REACHED = new GroupLeaseManager.StoreStatus(false, false);

	private static final GroupLeaseManager.StoreStatus REACHED_BY_OTHERS = new GroupLeaseManager.StoreStatus(true,
			false);

	private static final GroupLeaseManager.StoreStatus UNREACHABLE = new GroupLeaseManager.StoreStatus(false, true);

	private static final Duration MEMORY = Duration.ofSeconds(5);

	private final Instant start = Instant.ofEpochSecond(1000);

	private List<EntryEffect> effectsAfterReading(String ownIdentity, String holder, long millis) {
		GroupLeaseManager manager = GroupLeaseManager.of(ownIdentity, MEMORY);
		Effects effects = Effects.create();
		manager.tick(REACHED, Duration.ZERO, this.start, effects);
		manager.handleAnswer(new LeaseAnswer.Present(new Lease(holder, 3, 7), false), this.start, effects);
		Effects next = Effects.create();
		manager.tick(REACHED, Duration.ZERO, this.start.plusMillis(millis), next);
		return next.all();
	}

	// All nodes lose power and restart. The lease names the previous process of the same
	// node, which can no longer renew it. Waiting for the lease to expire leaves lost
	// groups without repair for 2.8 s, just when all callers retry.
	@Test
	void takesTheLeaseOfThePreviousProcessOnItsNodeAtOnce() {
		assertThat(effectsAfterReading("one#b", "one#a", 900))
			.containsExactly(new EntryEffect.ReplaceLease(new Lease("one#b", 4, 7, 1)));
	}

	// The holder is another node, whose process may still run, so the lease has to expire
	// first.
	@Test
	void waitsUntilTheLeaseOfAnotherNodeExpires() {
		assertThat(effectsAfterReading("one#b", "two#a", 900)).containsExactly(new EntryEffect.ReadLease());
		assertThat(effectsAfterReading("one#b", "two#a", 2900))
			.containsExactly(new EntryEffect.ReplaceLease(new Lease("one#b", 4, 7, 1)));
	}

	private GroupLeaseManager holder(String ownIdentity) {
		GroupLeaseManager manager = GroupLeaseManager.of(ownIdentity, MEMORY);
		Effects effects = Effects.create();
		manager.tick(REACHED, Duration.ZERO, this.start, effects);
		manager.handleAnswer(new LeaseAnswer.Present(new Lease(ownIdentity, 3, 7), true), this.start, effects);
		return manager;
	}

	private List<EntryEffect> effectsOfFailingRenewals(GroupLeaseManager manager,
			GroupLeaseManager.StoreStatus storeStatus, long untilMillis) {
		Effects effects = Effects.create();
		for (long millis = 100; millis <= untilMillis; millis += 100) {
			Instant now = this.start.plusMillis(millis);
			Effects step = Effects.create();
			manager.tick(storeStatus, Duration.ZERO, now, step);
			if (step.all().stream().anyMatch(EntryEffect.ReplaceLease.class::isInstance)) {
				manager.handleAnswer(new LeaseAnswer.Unavailable("status 429"), now, step);
			}
			step.all().forEach(effects::add);
		}
		return effects.all();
	}

	// The store rejects the calls of the controller's node and serves the others. The
	// holder will lose the lease soon in any case. It releases the lease after two failed
	// renewals, so that another node takes over 1 s sooner than by its expiry.
	@Test
	void releasesTheLeaseWhenOnlyOthersReachTheStore() {
		GroupLeaseManager manager = holder("one#a");
		assertThat(effectsOfFailingRenewals(manager, REACHED_BY_OTHERS, 1800))
			.contains(new EntryEffect.Broadcast(new NodeMessage.LeaseReleased("one", "one#a")));
		assertThat(manager.isHeld(this.start.plusMillis(1800))).isFalse();
		GroupLeaseManager other = GroupLeaseManager.of("two#b", MEMORY);
		Effects effects = Effects.create();
		other.tick(REACHED, Duration.ZERO, this.start, effects);
		other.handleAnswer(new LeaseAnswer.Present(new Lease("one#a", 3, 7), false), this.start, effects);
		other.handleReleased("one#a", false, this.start.plusMillis(200));
		Effects next = Effects.create();
		other.tick(REACHED, Duration.ZERO, this.start.plusMillis(200), next);
		assertThat(next.all()).containsExactly(new EntryEffect.ReplaceLease(new Lease("two#b", 4, 7, 1)));
	}

	private List<EntryEffect> effectsOfTick(GroupLeaseManager manager, GroupLeaseManager.StoreStatus storeStatus,
			long millis) {
		Effects effects = Effects.create();
		manager.tick(storeStatus, Duration.ZERO, this.start.plusMillis(millis), effects);
		return effects.all();
	}

	// If each of 95 nodes reads the lease itself, the store receives calls from all of
	// them, and each node that sees an old copy writes in vain. Nodes that receive the
	// lease with store updates do not read it. When the node that reads and holds it
	// crashes, they know its last renewal, and take the lease as soon as it has expired.
	@Test
	void aNodeReadsTheLeaseOnlyWithoutStoreUpdates() {
		GroupLeaseManager manager = GroupLeaseManager.of("one#b", MEMORY);
		for (long millis = 0; millis <= 5000; millis += 100) {
			manager.handleUpdate(new Lease("two#a", 3, 7 + millis / 700), this.start.plusMillis(millis),
					Effects.create());
			assertThat(effectsOfTick(manager, REACHED_BY_OTHERS, millis)).isEmpty();
		}
		assertThat(manager.holder()).hasValue("two");
		assertThat(effectsOfTick(manager, REACHED, 6000)).containsExactly(new EntryEffect.ReadLease());
		manager.handleAnswer(new LeaseAnswer.Present(new Lease("two#a", 3, 14), false), this.start.plusMillis(6010),
				Effects.create());
		assertThat(effectsOfTick(manager, REACHED, 7300))
			.containsExactly(new EntryEffect.ReplaceLease(new Lease("one#b", 4, 14, 1)));
	}

	// A holder was partitioned and another node took the lease. The holder learns this
	// from a peer before the store answers it.
	@Test
	void aHolderStopsWhenAnUpdateNamesAnotherHolder() {
		GroupLeaseManager manager = holder("one#a");
		assertThat(manager.isHeld(this.start.plusMillis(500))).isTrue();
		manager.handleUpdate(new Lease("two#a", 4, 9), this.start.plusMillis(500), Effects.create());
		assertThat(manager.isHeld(this.start.plusMillis(510))).isFalse();
	}

	// No node reaches the store for 8 s, and members of groups crash meanwhile. Nobody
	// can take the lease, so its holder continues. A holder that alone cannot reach the
	// store has to stop.
	@Test
	void keepsTheLeaseWhileNoNodeReachesTheStore() {
		GroupLeaseManager unreachableForAll = holder("one#a");
		effectsOfFailingRenewals(unreachableForAll, UNREACHABLE, 8000);
		assertThat(unreachableForAll.isHeld(this.start.plusMillis(8000))).isTrue();
		GroupLeaseManager unreachableForOne = holder("one#a");
		effectsOfFailingRenewals(unreachableForOne, REACHED, 3000);
		assertThat(unreachableForOne.isHeld(this.start.plusMillis(3000))).isFalse();
	}

	// A controller forgets what those before it did. The lease tells how many there were.
	@Test
	void theLeaseCountsTheTermsThatEndedWithinTheMemory() {
		GroupLeaseManager manager = GroupLeaseManager.of("one#b", MEMORY);
		manager.handleAnswer(new LeaseAnswer.Present(new Lease("one#a", 3, 7, 1), false), this.start, Effects.create());
		assertThat(effectsOfTick(manager, REACHED, 900))
			.containsExactly(new EntryEffect.ReplaceLease(new Lease("one#b", 4, 7, 2)));
		manager.handleAnswer(new LeaseAnswer.Present(new Lease("one#b", 4, 8, 2), true), this.start.plusMillis(900),
				Effects.create());
		assertThat(manager.recentTerms()).isEqualTo(2);
		for (long millis = 1600; millis < 8000; millis += 700) {
			Lease renewed = renewal(effectsOfTick(manager, REACHED, millis));
			assertThat(renewed.recentTerms()).isEqualTo((millis < 900 + MEMORY.toMillis()) ? 2 : 0);
			manager.handleAnswer(new LeaseAnswer.Present(renewed, true), this.start.plusMillis(millis),
					Effects.create());
		}
	}

	private static Lease renewal(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.ReplaceLease.class::isInstance)
			.map((effect) -> ((EntryEffect.ReplaceLease) effect).lease())
			.findFirst()
			.orElseThrow();
	}

}
