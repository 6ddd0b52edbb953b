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
 * Tests which targets the directory keeps, in particular while the store is unreachable.
 */
class TargetDirectoryTests {

	private final Instant start = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private final TargetEntry one = ServingSamples.plain("one");

	private final TargetEntry two = ServingSamples.plain("two");

	// The store is unreachable for so long that all entries expire, and lists none when
	// it is reachable again. Live targets register again within 2 s, and callers must not
	// notice.
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

	// A target that announced its leaving is removed with its entry, even during a store
	// outage.
	@Test
	void aLeavingTargetIsNotKept() {
		this.directory.replaceAll(List.of(this.one.asLeaving()), this.start);
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

	// An entry is removed without notice: the target receives no requests, but its last
	// entry is kept for code that knows more about it. That of a target that announced
	// its leaving is not.
	@Test
	void theLastEntryOfAVanishedTargetIsKeptForTenSeconds() {
		this.directory.recordStoreContact(true, this.start);
		this.directory.replaceAll(List.of(this.one, this.two.asLeaving()), this.start);
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
