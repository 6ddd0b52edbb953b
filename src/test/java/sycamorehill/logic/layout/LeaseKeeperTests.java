package sycamorehill.logic.layout;

import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Who may take the right to control the groups, and when.
 */
class LeaseKeeperTests {

	private final Instant start = Instant.ofEpochSecond(1000);

	private List<EntryEffect> afterReading(String self, String holder, long millis) {
		LeaseKeeper keeper = LeaseKeeper.of(self);
		Effects effects = Effects.begin();
		keeper.tick(false, this.start, effects);
		keeper.answered(new LeaseAnswer.Present(new Lease(holder, 3, 7), false), this.start, effects);
		Effects next = Effects.begin();
		keeper.tick(false, this.start.plusMillis(millis), next);
		return next.all();
	}

	// All nodes lose power and start again. The lease names the process that ran on this
	// very node before: it can't renew any more. Waiting for its expiry left lost groups
	// without repair for 2.8 s, just when all callers came back.
	@Test
	void takesTheLeaseOfTheProcessBeforeItAtOnce() {
		assertThat(afterReading("one#b", "one#a", 900))
			.containsExactly(new EntryEffect.ReplaceLease(new Lease("one#b", 4, 7)));
	}

	// The holder is another node, which may be alive: it is waited for.
	@Test
	void awaitsTheExpiryOfAnothersLease() {
		assertThat(afterReading("one#b", "two#a", 900)).containsExactly(new EntryEffect.ReadLease());
		assertThat(afterReading("one#b", "two#a", 2900))
			.containsExactly(new EntryEffect.ReplaceLease(new Lease("one#b", 4, 7)));
	}

}
