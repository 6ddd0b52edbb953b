package sycamorehill.logic.directory;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which targets are believed in while the store is away.
 */
class TargetDirectoryTests {

	private final Instant start = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private final TargetEntry one = ServingSamples.plain("one");

	private final TargetEntry two = ServingSamples.plain("two");

	// The store is away long enough for all entries to lapse. When it is back it
	// shows none: live targets enter themselves again within 2 s, and callers must
	// not notice.
	@Test
	void aStoreOutageNeverEmptiesTheDirectory() {
		this.directory.recordStoreContact(true, this.start);
		this.directory.replaceAll(List.of(this.one, this.two), this.start);
		this.directory.recordStoreContact(false, this.start.plusSeconds(1));
		this.directory.recordStoreContact(true, this.start.plusSeconds(9));
		this.directory.replaceAll(List.of(), this.start.plusSeconds(9));
		assertThat(this.directory.all()).hasSize(2);
		this.directory.apply(List.of(change(this.one)), this.start.plusSeconds(10));
		this.directory.dropMissing(this.start.plusSeconds(12));
		assertThat(this.directory.all()).containsExactly(this.one);
	}

	// A target that said it was leaving is gone when its entry goes, outage or not.
	@Test
	void aLeavingTargetIsNotKept() {
		this.directory.replaceAll(List.of(ServingSamples.leaving(this.one)), this.start);
		this.directory.recordStoreContact(false, this.start);
		this.directory.apply(List.of(new TargetChange(this.one.name(), Optional.empty())), this.start);
		assertThat(this.directory.all()).isEmpty();
	}

	@Test
	void anEntryDeletedWhileTheStoreIsReachableIsRemovedAtOnce() {
		this.directory.recordStoreContact(true, this.start);
		this.directory.replaceAll(List.of(this.one), this.start);
		assertThat(this.directory.apply(List.of(new TargetChange(this.one.name(), Optional.empty())), this.start))
			.containsExactly(this.one);
		assertThat(this.directory.find(TargetName.of("one"))).isEmpty();
	}

	// An entry goes without notice: the target is none to use, and its last word is kept
	// for those that know more of it. One that said it was leaving is no riddle.
	@Test
	void theLastEntryOfAVanishedTargetIsKeptForTenSeconds() {
		this.directory.recordStoreContact(true, this.start);
		this.directory.replaceAll(List.of(this.one, ServingSamples.leaving(this.two)), this.start);
		this.directory.replaceAll(List.of(), this.start);
		assertThat(this.directory.all()).isEmpty();
		assertThat(this.directory.vanished()).containsExactly(this.one);
		this.directory.dropMissing(this.start.plusSeconds(11));
		assertThat(this.directory.vanished()).isEmpty();
	}

	@Test
	void aTargetThatRegistersAgainHasNotVanished() {
		this.directory.recordStoreContact(true, this.start);
		this.directory.replaceAll(List.of(this.one), this.start);
		this.directory.replaceAll(List.of(), this.start);
		this.directory.apply(List.of(change(this.one)), this.start);
		assertThat(this.directory.vanished()).isEmpty();
	}

	private static TargetChange change(TargetEntry entry) {
		return new TargetChange(entry.name(), Optional.of(entry));
	}

}
